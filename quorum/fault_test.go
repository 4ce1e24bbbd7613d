package quorum_test

import (
	"context"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/quorum"
	"burdocksaddle/storage"
)

// failingDisk fails every sync of a file once it is told to.
func failingDisk(fail *atomic.Bool) storage.FileSystem {
	disk := storage.Disk()
	create := disk.Create
	disk.Create = func(name string) (storage.File, error) {
		f, err := create(name)
		sync := f.Sync
		f.Sync = func() error {
			if fail.Load() {
				return syscall.EIO
			}
			return sync()
		}
		return f, err
	}
	return disk
}

func TestFailedDiskStopsTheRole(t *testing.T) { bubble(t, testFailedDiskStopsTheRole) }

func testFailedDiskStopsTheRole(t *testing.T) {
	var fail atomic.Bool
	var wrote atomic.Int64
	l, err := quorum.Open(quorum.Config{DataFolder: filepath.Join(t.TempDir(), "data"), Name: "m0", Address: "127.0.0.1:1"},
		quorum.WithTick(testTick), quorum.WithFileSystem(failingDisk(&fail)), quorum.WithWrote(func(time.Duration) { wrote.Add(1) }))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	ended := l.Run(ctx)
	eventually(t, "the lead", func() bool { _, self := l.Leader(); return self })
	if _, err := l.Propose(ctx, []byte("a")); err != nil {
		t.Fatal(err)
	}
	if wrote.Load() == 0 {
		t.Error("nobody heard of a write")
	}
	fail.Store(true)
	if _, err := l.Propose(ctx, []byte("b")); !quorum.IsErrOutcomeUnknown(err) {
		t.Errorf("proposal over a failed disk gave %v, want ErrOutcomeUnknown", err)
	}
	if err := <-ended; !storage.IsErrDead(err) {
		t.Errorf("ended with %v, want ErrDead", err)
	}
	if _, err := l.Propose(ctx, []byte("c")); !quorum.IsErrNeverCommitted(err) {
		t.Errorf("proposal after the end gave %v, want ErrNeverCommitted", err)
	}
	if _, err := l.ReadBarrier(ctx); !quorum.IsErrStopped(err) {
		t.Errorf("read after the end gave %v, want ErrStopped", err)
	}
	if diff := cmp.Diff(quorum.NoProof, l.Vouch()); diff != "" {
		t.Error(diff)
	}
}

// TestDamagedMemberComesBackAsLearner flips a byte in the middle of a follower's log.
func TestDamagedMemberComesBackAsLearner(t *testing.T) {
	bubble(t, testDamagedMemberComesBackAsLearner)
}

func testDamagedMemberComesBackAsLearner(t *testing.T) {
	processes := startAll(t, configs(t, 3, 0))
	for range 10 {
		propose(t, processes, "c")
	}
	leader := leaderOf(t, processes)
	place := at(processes, leader, 1)
	old := processes[place].Members()
	processes[place].stop(t)
	segment := filepath.Join(processes[place].config.DataFolder, "segment-0000000000000001")
	data, err := os.ReadFile(segment)
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)/2] ^= 1
	if err := os.WriteFile(segment, data, 0o600); err != nil {
		t.Fatal(err)
	}
	processes[place] = start(t, processes[place].config)
	eventually(t, "a new identity votes", func() bool {
		members := leaderOf(t, processes).Members()
		return len(members) == 3 && len(voterNames(leaderOf(t, processes))) == 3 && !cmp.Equal(ids(old), ids(members))
	})
	eventually(t, "all commands", func() bool { return len(processes[place].journal.all()) == 10 })
}

func ids(members []quorum.MemberStatus) []uint64 {
	var out []uint64
	for _, m := range members {
		out = append(out, m.ID)
	}
	return out
}

// TestSilentPartition runs on the real clock, as the sessions' library waits for locks while a connection is silent, which
// stops a bubble's clock. It cuts the leader, and then a follower, off without a word and lets them back.
func TestSilentPartition(t *testing.T) {
	dropPooledTimers()
	network := newNetwork()
	var processes []*process
	for _, config := range configs(t, 3, 0) {
		config.ReplaceAfter = 0
		processes = append(processes, startOn(t, config, network))
	}
	propose(t, processes, "a")
	old := leaderOf(t, processes)
	network.host(old.config.Address).cut.Store(true)
	var rest []*process
	for _, p := range processes {
		if p != old {
			rest = append(rest, p)
		}
	}
	eventually(t, "the isolated leader steps down", func() bool { _, self := old.Leader(); return !self })
	propose(t, rest, "b")
	vouched := old.Vouch()
	ctx, cancel := context.WithTimeout(t.Context(), 20*testTick)
	defer cancel()
	if _, err := old.ReadBarrier(ctx); !quorum.IsErrNoQuorum(err) {
		t.Errorf("an isolated member read, %v", err)
	}
	if now := old.Vouch(); now < vouched+10*testTick {
		t.Errorf("an isolated member's proof went from %v to %v old", vouched, now)
	}
	follower := rest[at(rest, leaderOf(t, rest), 1)]
	for _, isolated := range []*process{old, follower} {
		network.host(isolated.config.Address).cut.Store(true)
		eventually(t, "silence", func() bool { return isolated.Vouch() > 20*testTick })
		term := isolated.Term()
		eventually(t, "long silence", func() bool { return isolated.Vouch() > 60*testTick })
		// Only a message of a later term makes a leader step down, so a member that keeps its term disturbs none.
		if diff := cmp.Diff(term, isolated.Term()); diff != "" {
			t.Errorf("%s went to another term alone: %s", isolated.config.Name, diff)
		}
		network.host(isolated.config.Address).cut.Store(false)
		eventually(t, "fresh proof", func() bool { return isolated.Vouch() < 10*testTick })
	}
	eventually(t, "both commands", func() bool { return cmp.Equal([]string{"a", "b"}, old.journal.all()) })
}

// TestOpenConnectionsGoSilent loses every open connection for good while new ones work.
func TestOpenConnectionsGoSilent(t *testing.T) {
	dropPooledTimers()
	network := newNetwork()
	var processes []*process
	for _, config := range configs(t, 3, 0) {
		processes = append(processes, startOn(t, config, network))
	}
	propose(t, processes, "a")
	leader := leaderOf(t, processes)
	for _, p := range processes {
		network.host(p.config.Address).forgotten.Add(1)
	}
	eventually(t, "the leader notices", func() bool { _, self := leader.Leader(); return !self })
	propose(t, processes, "b")
	for _, p := range processes {
		eventually(t, "both commands", func() bool { return cmp.Equal([]string{"a", "b"}, p.journal.all()) })
	}
}

// idleBytesBound is what a node may spend on control a second.
const idleBytesBound = 4 << 10

// TestIdleMembersSpeakLittle counts what members send and receive at the tick in use while nothing happens.
func TestIdleMembersSpeakLittle(t *testing.T) { bubble(t, testIdleMembersSpeakLittle) }

func testIdleMembersSpeakLittle(t *testing.T) {
	for _, voters := range []int{3, 5} {
		network := newNetwork()
		var processes []*process
		for _, config := range configs(t, voters, 0) {
			processes = append(processes, startOn(t, config, network, quorum.WithTick(100*time.Millisecond)))
		}
		propose(t, processes, "a")
		leader := leaderOf(t, processes)
		before, began := network.host(leader.config.Address).bytes.Load(), time.Now()
		time.Sleep(2 * time.Second)
		rate := float64(network.host(leader.config.Address).bytes.Load()-before) / time.Since(began).Seconds()
		t.Logf("%d voters: the leader sends and receives %.0f bytes a second", voters, rate)
		if rate > idleBytesBound {
			t.Errorf("%d voters: %.0f bytes a second, bound %d", voters, rate, idleBytesBound)
		}
		for _, p := range processes {
			p.stop(t)
		}
	}
}
