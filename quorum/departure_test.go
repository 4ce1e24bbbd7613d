package quorum_test

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/quorum"
)

const (
	// maxElectionTicks is how long the election of another leader may take, unless votes are split.
	maxElectionTicks = 20
	// maxLeaveTicks is how long a member may take to leave while the leader is lost, whose successor may take two elections.
	maxLeaveTicks = 60
)

// runOnOneProcessor is like runInBubble. Timers of a bubble that fire on several processors at once share a context of the race detector,
// which crashes it (Go 1.26).
func runOnOneProcessor(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	runInBubble(t, test)
}

// leave has members leave at once, and stops each one when it has left.
func leave(t *testing.T, leavers ...*process) {
	t.Helper()
	var left sync.WaitGroup
	for _, p := range leavers {
		left.Go(func() {
			began := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
			defer cancel()
			if err := p.Leave(ctx); err != nil && !quorum.IsErrNoQuorum(err) {
				t.Errorf("%s: %v", p.config.Name, err)
			}
			if took := time.Since(began); took > maxLeaveTicks*testTick {
				t.Errorf("%s took %v to leave", p.config.Name, took)
			}
			p.stop(t)
		})
	}
	left.Wait()
}

// leaveBesideLosses has members leave while others are lost.
func leaveBesideLosses(t *testing.T, leavers []*process, losses ...*process) {
	t.Helper()
	var lost sync.WaitGroup
	for _, p := range losses {
		lost.Go(func() { p.stop(t) })
	}
	leave(t, leavers...)
	lost.Wait()
}

// startWithStandbys starts a group whose standbys have caught up, with a committed command. The leader comes first.
func startWithStandbys(t *testing.T, voters, standbys int) []*process {
	t.Helper()
	configs := testConfigs(t, voters, standbys)
	for i := range configs {
		configs[i].Standing, configs[i].JoinOnly = false, i >= voters
	}
	processes := startAll(t, configs)
	propose(t, processes, "before")
	eventually(t, "all members have caught up", func() bool {
		members := leaderOf(t, processes).Members()
		return len(members) == voters+standbys && !slices.ContainsFunc(members, func(m quorum.MemberStatus) bool { return m.Lag > 0 })
	})
	leader := leaderOf(t, processes)
	at := slices.Index(processes, leader)
	processes[0], processes[at] = processes[at], processes[0]
	return processes
}

// TestGroupSurvivesDepartures guards against planned stops that cost the quorum, though as many members have caught up: several at once or in
// series, and beside losses that the group must bear.
func TestGroupSurvivesDepartures(t *testing.T) {
	tests := map[string]struct {
		voters, standbys int
		// run stops members; the leader is the first of them, standbys follow the voters.
		run func(t *testing.T, p []*process)
	}{
		"two in series": {3, 3, func(t *testing.T, p []*process) {
			leave(t, p[0])
			time.Sleep(20 * testTick)
			leave(t, p[1])
		}},
		"three at once":           {3, 3, func(t *testing.T, p []*process) { leave(t, p[:3]...) }},
		"followers at once":       {3, 2, func(t *testing.T, p []*process) { leave(t, p[1:3]...) }},
		"one, then a loss":        {3, 3, func(t *testing.T, p []*process) { leave(t, p[1]); p[0].stop(t) }},
		"the leader, then a loss": {3, 3, func(t *testing.T, p []*process) { leave(t, p[0]); p[1].stop(t) }},
		"the successor is lost":   {3, 2, func(t *testing.T, p []*process) { leave(t, p[1]); p[3].stop(t) }},
		"a loss, then two at once": {3, 3, func(t *testing.T, p []*process) {
			p[2].stop(t)
			time.Sleep(5 * testTick)
			leave(t, p[:2]...)
		}},
		"the leader is lost as two leave": {3, 3, func(t *testing.T, p []*process) {
			leaveBesideLosses(t, p[1:3], p[0])
		}},
		"a successor is lost as three leave": {3, 4, func(t *testing.T, p []*process) {
			leaveBesideLosses(t, p[:3], p[3])
		}},
		"five in series": {5, 5, func(t *testing.T, p []*process) {
			for _, p := range p[:5] {
				leave(t, p)
				time.Sleep(5 * testTick)
			}
		}},
		"five at once":                 {5, 5, func(t *testing.T, p []*process) { leave(t, p[:5]...) }},
		"two of five, then two losses": {5, 4, func(t *testing.T, p []*process) { leave(t, p[1:3]...); p[3].stop(t); p[4].stop(t) }},
		"two losses as two of five leave": {5, 5, func(t *testing.T, p []*process) {
			leaveBesideLosses(t, p[1:3], p[0], p[4])
		}},
		"the only voter": {1, 1, func(t *testing.T, p []*process) { leave(t, p[0]) }},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runOnOneProcessor(t, func(t *testing.T) {
				processes := startWithStandbys(t, test.voters, test.standbys)
				test.run(t, processes)
				rest := running(processes)
				propose(t, rest, "after")
				for _, p := range rest {
					eventually(t, "all commands", func() bool { return cmp.Equal([]string{"before", "after"}, p.commandLog.all()) })
				}
				want := min(test.voters, len(rest))
				eventually(t, "those that are gone are no members", func() bool {
					leader := leaderOf(t, rest)
					return len(leader.Members()) == len(rest) && len(voterNames(leader)) == want
				})
			})
		})
	}
}

func running(processes []*process) []*process {
	return slices.DeleteFunc(slices.Clone(processes), func(p *process) bool { return p.stopped })
}

// TestRestartsInTurn guards against restarts that cost a group more than an election for each leader that stops, or its quorum.
func TestRestartsInTurn(t *testing.T) {
	for _, standbys := range []int{0, 1, 3} {
		t.Run(fmt.Sprint(standbys, " standbys"), func(t *testing.T) {
			runOnOneProcessor(t, func(t *testing.T) { testRestartsInTurn(t, standbys) })
		})
	}
}

func testRestartsInTurn(t *testing.T, standbys int) {
	const voters, rounds = 3, 2
	processes := startWithStandbys(t, voters, standbys)
	want, term, leaders := []string{"before"}, processes[0].Term(), 0
	for round := range rounds {
		for i, p := range processes {
			if _, self := p.Leader(); self {
				leaders++
			}
			began := time.Now()
			leave(t, p)
			if took := time.Since(began); took > 5*testTick {
				t.Errorf("a stop took %v", took)
			}
			command := fmt.Sprint(round, " ", i)
			propose(t, running(processes), command)
			want = append(want, command)
			processes[i] = start(t, p.config)
			eventually(t, "it has caught up", func() bool { return cmp.Equal(want, processes[i].commandLog.all()) })
		}
	}
	leader := leaderOf(t, processes)
	if elections := int(leader.Term() - term); elections > leaders {
		t.Errorf("%d elections for %d leaders that stopped", elections, leaders)
	}
	if voterCount, members := len(voterNames(leader)), len(leader.Members()); voterCount != voters || members != voters+standbys {
		t.Errorf("%d voters among %d members", voterCount, members)
	}
}

// TestAllStopTogether guards against a group that does not come back, as its members replaced one another while all of them stopped.
func TestAllStopTogether(t *testing.T) { runOnOneProcessor(t, testAllStopTogether) }

func testAllStopTogether(t *testing.T) {
	for _, stopping := range []int{3, 6} {
		processes := startWithStandbys(t, 3, 3)
		began := time.Now()
		leave(t, processes[:stopping]...)
		if took := time.Since(began); took > maxElectionTicks*testTick {
			t.Errorf("%d members took %v to stop", stopping, took)
		}
		for i, p := range processes[:stopping] {
			processes[i] = start(t, p.config)
		}
		propose(t, processes, "after")
		eventually(t, "three voters", func() bool { return len(voterNames(leaderOf(t, processes))) == 3 })
		for _, p := range processes {
			eventually(t, "all commands", func() bool { return cmp.Equal([]string{"before", "after"}, p.commandLog.all()) })
		}
		for _, p := range processes {
			p.stop(t)
		}
	}
}

// TestLeavingWithoutAQuorum guards against a stop that is held up by a group that cannot decide anything.
func TestLeavingWithoutAQuorum(t *testing.T) { runOnOneProcessor(t, testLeavingWithoutAQuorum) }

func testLeavingWithoutAQuorum(t *testing.T) {
	processes := startWithStandbys(t, 3, 2)
	processes[0].stop(t)
	processes[1].stop(t)
	leave(t, processes[3])
	time.Sleep(100 * testTick)
	for _, p := range []*process{processes[2], processes[4]} {
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
		began := time.Now()
		if err := p.Leave(ctx); !quorum.IsErrNoQuorum(err) {
			t.Errorf("leaving returned %v, want ErrNoQuorum", err)
		}
		if took := time.Since(began); took > testTick {
			t.Errorf("a group that has been without a quorum for long held up a stop for %v", took)
		}
		cancel()
	}
}

// TestLateStandbyTakesTheVoteOfOneThatLeft has a member leave without a successor and one join afterwards.
func TestLateStandbyTakesTheVoteOfOneThatLeft(t *testing.T) {
	runOnOneProcessor(t, testLateStandbyTakesTheVoteOfOneThatLeft)
}

func testLateStandbyTakesTheVoteOfOneThatLeft(t *testing.T) {
	configs := testConfigs(t, 3, 1)
	processes := startAll(t, configs[:3])
	propose(t, processes, "a")
	leader := leaderOf(t, processes)
	follower := processes[indexOfFollower(processes, leader, 1)]
	leave(t, follower)
	began := time.Now()
	time.Sleep(10 * testTick)
	standby := start(t, configs[3])
	eventually(t, "the standby votes", func() bool { return slices.Contains(voterNames(leader), standby.config.Name) })
	if took := time.Since(began); took > configs[3].ReplaceAfter+10*testTick {
		t.Errorf("the standby got the vote after %v", took)
	}
	leave(t, leader)
	propose(t, running(append(processes, standby)), "b")
}
