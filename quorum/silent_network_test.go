package quorum_test

// The tests of this file run on the real clock. They come last, as the sessions' library closes their streams half a minute later with timers from
// a pool, which must not come from the bubble of another test.

import (
	"context"
	"testing"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/quorum"
)

// TestSilentPartition isolates the leader and then a follower by silently dropping their traffic, and reconnects them.
// It runs on the real clock because the sessions' library waits for locks while a connection is silent, which stops the
// clock of a synctest bubble.
func TestSilentPartition(t *testing.T) {
	dropPooledTimers()
	network := newNetwork()
	var processes []*process
	for _, config := range testConfigs(t, 3, 0) {
		config.ReplaceAfter = 0
		processes = append(processes, startOn(t, config, network))
	}
	propose(t, processes, "a")
	old := leaderOf(t, processes)
	network.host(old.config.Address).partitioned.Store(true)
	var rest []*process
	for _, p := range processes {
		if p != old {
			rest = append(rest, p)
		}
	}
	eventually(t, "the isolated leader steps down", func() bool { _, self := old.Leader(); return !self })
	propose(t, rest, "b")
	proofAge := old.QuorumProofAge()
	ctx, cancel := context.WithTimeout(t.Context(), 20*testTick)
	defer cancel()
	if _, err := old.ReadBarrier(ctx); !quorum.IsErrNoQuorum(err) {
		t.Errorf("read on an isolated member returned %v, want ErrNoQuorum", err)
	}
	if now := old.QuorumProofAge(); now < proofAge+10*testTick {
		t.Errorf("proof age of an isolated member went from %v to %v", proofAge, now)
	}
	follower := rest[indexOfFollower(rest, leaderOf(t, rest), 1)]
	for _, isolated := range []*process{old, follower} {
		network.host(isolated.config.Address).partitioned.Store(true)
		eventually(t, "silence", func() bool { return isolated.QuorumProofAge() > 20*testTick })
		term := isolated.Term()
		eventually(t, "long silence", func() bool { return isolated.QuorumProofAge() > 60*testTick })
		// Only a message of a later term makes a leader step down, so a member that keeps its term does not disturb the
		// group.
		if diff := cmp.Diff(term, isolated.Term()); diff != "" {
			t.Errorf("%s changed its term while isolated: %s", isolated.config.Name, diff)
		}
		network.host(isolated.config.Address).partitioned.Store(false)
		eventually(t, "fresh proof", func() bool { return isolated.QuorumProofAge() < 10*testTick })
	}
	eventually(t, "both commands", func() bool { return cmp.Equal([]string{"a", "b"}, old.commandLog.all()) })
}

// TestOpenConnectionsSilentlyLost drops the traffic of all open connections permanently, while new connections work.
func TestOpenConnectionsSilentlyLost(t *testing.T) {
	dropPooledTimers()
	network := newNetwork()
	var processes []*process
	for _, config := range testConfigs(t, 3, 0) {
		processes = append(processes, startOn(t, config, network))
	}
	propose(t, processes, "a")
	leader := leaderOf(t, processes)
	for _, p := range processes {
		network.host(p.config.Address).connectionLosses.Add(1)
	}
	eventually(t, "the leader steps down", func() bool { _, self := leader.Leader(); return !self })
	propose(t, processes, "b")
	for _, p := range processes {
		eventually(t, "both commands", func() bool { return cmp.Equal([]string{"a", "b"}, p.commandLog.all()) })
	}
}
