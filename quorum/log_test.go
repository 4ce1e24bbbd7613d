package quorum_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/quorum"
	"burdocksaddle/wire"
)

const (
	testTick = 20 * time.Millisecond
	patience = 20 * time.Second
)

// journal is a state machine that keeps every command.
type journal struct {
	mu       sync.Mutex
	commands []string
}

func (j *journal) apply(_ uint64, command []byte) any {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.commands = append(j.commands, string(command))
	return len(j.commands)
}

func (j *journal) snapshot() ([]byte, error) {
	return []byte(strings.Join(j.all(), "\n")), nil
}

func (j *journal) restore(_ uint64, state []byte) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.commands = strings.Split(string(state), "\n")
	return nil
}

func (j *journal) all() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string{}, j.commands...)
}

// process is one running member.
type process struct {
	*quorum.Log
	config  quorum.Config
	journal *journal
	cancel  context.CancelFunc
	ended   <-chan error
	served  <-chan error
	once    sync.Once
	stopped bool
}

// bubble runs a test on a clock that moves only while every goroutine waits, so that a busy machine changes nothing. The
// sessions' library pools its timers, which must not come from another bubble: two collections empty the pool.
func bubble(t *testing.T, test func(t *testing.T)) {
	dropPooledTimers()
	synctest.Test(t, test)
}

func dropPooledTimers() {
	runtime.GC()
	runtime.GC()
}

func start(t *testing.T, config quorum.Config) *process {
	t.Helper()
	return startOn(t, config, loopback)
}

func startOn(t *testing.T, config quorum.Config, network *network, options ...quorum.Option) *process {
	t.Helper()
	p := &process{config: config, journal: &journal{}}
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(t.Context())
	pool := network.pool(config.Address)
	var err error
	options = append([]quorum.Option{quorum.WithTick(testTick), quorum.WithPool(pool), quorum.WithApply(p.journal.apply),
		quorum.WithSnapshot(p.journal.snapshot), quorum.WithRestore(p.journal.restore)}, options...)
	p.Log, err = quorum.Open(config, options...)
	if err != nil {
		t.Fatal(err)
	}
	p.served = wire.Serve(ctx, network.listen(config.Address), wire.Handlers{Peer: p.Handle})
	p.ended = p.Run(ctx)
	t.Cleanup(func() { p.stop(t); pool.Close() })
	return p
}

func (p *process) stop(t *testing.T) {
	p.once.Do(func() {
		p.cancel()
		p.stopped = true
		if err := <-p.ended; err != nil {
			t.Errorf("%s ended with %v", p.config.Name, err)
		}
		if err := <-p.served; err != nil {
			t.Errorf("%s served until %v", p.config.Name, err)
		}
	})
}

// members counts the addresses that the tests have used.
var members atomic.Uint32

// addresses returns addresses of the network in memory.
func addresses(count int) []string {
	var out []string
	for range count {
		out = append(out, fmt.Sprint("member-", members.Add(1)))
	}
	return out
}

// configs returns the settings of voters and of standing learners behind them.
func configs(t *testing.T, voters, standing int) []quorum.Config {
	t.Helper()
	all := addresses(voters + standing)
	var peers []quorum.Peer
	for i := range voters {
		peers = append(peers, quorum.Peer{Name: fmt.Sprint("m", i), Address: all[i]})
	}
	var out []quorum.Config
	for i, address := range all {
		out = append(out, quorum.Config{
			DataFolder: filepath.Join(t.TempDir(), "data"), Name: fmt.Sprint("m", i), Address: address, Bootstrap: peers,
			Standing: i >= voters, ReplaceAfter: 50 * testTick, SnapshotEntries: 20,
		})
	}
	return out
}

func startAll(t *testing.T, configs []quorum.Config) []*process {
	t.Helper()
	var out []*process
	for _, c := range configs {
		out = append(out, start(t, c))
	}
	return out
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(testTick / 4) {
		if holds() {
			return
		}
	}
	t.Fatal("never: " + what)
}

func leaderOf(t *testing.T, processes []*process) *process {
	t.Helper()
	var found *process
	eventually(t, "one leader", func() bool {
		found = nil
		for _, p := range processes {
			if _, self := p.Leader(); self {
				found = p
			}
		}
		return found != nil
	})
	return found
}

// propose commits a command through whoever leads.
func propose(t *testing.T, processes []*process, command string) {
	t.Helper()
	eventually(t, "commit of "+command, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), patience)
		defer cancel()
		_, err := leaderOf(t, processes).Propose(ctx, []byte(command))
		if quorum.IsErrOutcomeUnknown(err) {
			t.Fatalf("%s: %v", command, err)
		}
		return err == nil
	})
}

func voterNames(p *process) []string {
	var names []string
	for _, m := range p.Members() {
		if m.Voter {
			names = append(names, m.Name)
		}
	}
	return names
}

func TestSingleMember(t *testing.T) {
	for name, folder := range map[string]string{"in memory": "", "on disk": filepath.Join(t.TempDir(), "data")} {
		t.Run(name, func(t *testing.T) {
			bubble(t, func(t *testing.T) {
				p := start(t, quorum.Config{DataFolder: folder, Name: "m0", Address: addresses(1)[0]})
				propose(t, []*process{p}, "a")
				index, err := p.ReadBarrier(t.Context())
				if err != nil || index != p.Applied() {
					t.Errorf("barrier %d, %v; applied %d", index, err, p.Applied())
				}
				if age := p.Vouch(); age > 3*testTick+time.Second {
					t.Errorf("the proof of a single member is %v old", age)
				}
			})
		})
	}
}

func TestThreeMembersSurviveTheirLeader(t *testing.T) {
	bubble(t, testThreeMembersSurviveTheirLeader)
}

func testThreeMembersSurviveTheirLeader(t *testing.T) {
	processes := startAll(t, configs(t, 3, 0))
	for i := range 50 {
		propose(t, processes, fmt.Sprint("c", i))
	}
	old := leaderOf(t, processes)
	old.stop(t)
	if _, err := old.Propose(t.Context(), []byte("x")); !quorum.IsErrNeverCommitted(err) {
		t.Errorf("a stopped member gave %v, want ErrNeverCommitted", err)
	}
	if age := old.Vouch(); age != quorum.NoProof {
		t.Errorf("a stopped member vouches, %v", age)
	}
	var live []*process
	for _, p := range processes {
		if p != old {
			live = append(live, p)
		}
	}
	propose(t, live, "after")
	again := start(t, old.config)
	eventually(t, "the old leader catches up", func() bool { return len(again.journal.all()) == 51 })
	for _, p := range live {
		if _, err := p.ReadBarrier(t.Context()); err != nil {
			t.Error(err)
		}
		if diff := cmp.Diff(p.journal.all(), again.journal.all()); diff != "" {
			t.Error(diff)
		}
		eventually(t, "fresh proof", func() bool { return p.Vouch() < 10*testTick })
	}
}

func TestFollowerRefusesAndNamesTheLeader(t *testing.T) {
	bubble(t, testFollowerRefusesAndNamesTheLeader)
}

func testFollowerRefusesAndNamesTheLeader(t *testing.T) {
	processes := startAll(t, configs(t, 3, 0))
	propose(t, processes, "a")
	leader := leaderOf(t, processes)
	for _, p := range processes {
		if p == leader {
			continue
		}
		eventually(t, "the leader's address", func() bool { a, _ := p.Leader(); return a == leader.config.Address })
		_, err := p.Propose(t.Context(), []byte("b"))
		if diff := cmp.Diff(quorum.ErrNotLeader{LeaderAddress: leader.config.Address}, err); diff != "" {
			t.Error(diff)
		}
	}
}

func TestTransferMovesTheLead(t *testing.T) { bubble(t, testTransferMovesTheLead) }

func testTransferMovesTheLead(t *testing.T) {
	processes := startAll(t, configs(t, 3, 0))
	propose(t, processes, "a")
	leader := leaderOf(t, processes)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	if err := leader.TransferLeader(ctx); err != nil {
		t.Fatal(err)
	}
	eventually(t, "another leader", func() bool { return leaderOf(t, processes) != leader })
	propose(t, processes, "b")
}

// TestWipedMemberComesBackAsLearner wipes a voter: it must take its place anew, by a learner's way.
func TestWipedMemberComesBackAsLearner(t *testing.T) {
	bubble(t, testWipedMemberComesBackAsLearner)
}

func testWipedMemberComesBackAsLearner(t *testing.T) {
	processes := startAll(t, configs(t, 3, 0))
	for i := range 60 {
		propose(t, processes, fmt.Sprint("c", i))
	}
	leader := leaderOf(t, processes)
	for at, p := range processes {
		if p == leader {
			continue
		}
		p.stop(t)
		config := p.config
		config.DataFolder = filepath.Join(t.TempDir(), "wiped")
		processes[at] = start(t, config)
		break
	}
	eventually(t, "three voters and no old identity", func() bool {
		members := leaderOf(t, processes).Members()
		return len(members) == 3 && len(voterNames(leaderOf(t, processes))) == 3
	})
	propose(t, processes, "after")
	for _, p := range processes {
		eventually(t, "all commands everywhere", func() bool { return len(p.journal.all()) == 61 })
	}
}

// TestStandingLearnerReplacesAGoneVoter loses one voter for good, and a second one right after the repair.
func TestStandingLearnerReplacesAGoneVoter(t *testing.T) {
	bubble(t, testStandingLearnerReplacesAGoneVoter)
}

func testStandingLearnerReplacesAGoneVoter(t *testing.T) {
	processes := startAll(t, configs(t, 3, 1))
	propose(t, processes, "a")
	leader := leaderOf(t, processes)
	eventually(t, "the standing learner", func() bool { return len(leader.Members()) == 4 })
	processes[at(processes, leader, 1)].stop(t)
	eventually(t, "the learner votes", func() bool {
		return cmp.Equal(3, len(voterNames(leader))) && strings.Contains(strings.Join(voterNames(leader), " "), "m3")
	})
	propose(t, processes, "b")
	leader.stop(t)
	first := processes[at(processes, leader, 1)]
	var live []*process
	for _, p := range processes {
		if !p.stopped {
			live = append(live, p)
		}
	}
	propose(t, live, "c")
	for _, p := range live {
		eventually(t, "all commands", func() bool { return cmp.Equal([]string{"a", "b", "c"}, p.journal.all()) })
	}
	back := start(t, first.config)
	eventually(t, "the first one takes the second one's place", func() bool {
		return cmp.Equal([]string{"a", "b", "c"}, back.journal.all()) && strings.Contains(strings.Join(voterNames(leaderOf(t, live)), " "), first.config.Name)
	})
}

// at returns the place of the nth voter that is not the leader.
func at(processes []*process, leader *process, n int) int {
	for i, p := range processes {
		if p != leader && !p.config.Standing {
			if n--; n == 0 {
				return i
			}
		}
	}
	return -1
}

// TestVotersForTolerance starts with three members of five and loses the disks of two of the first at the moment when all lose power:
// what was committed is there all the same, and the group goes on.
func TestVotersForTolerance(t *testing.T) { bubble(t, testVotersForTolerance) }

func testVotersForTolerance(t *testing.T) {
	const tolerated = 2
	settings := configs(t, 3, 2)
	for i := range settings {
		settings[i].Standing, settings[i].Voters = false, 2*tolerated+1
	}
	processes := startAll(t, settings)
	propose(t, processes, "a")
	eventually(t, "all vote", func() bool { return len(voterNames(leaderOf(t, processes))) == 2*tolerated+1 })
	propose(t, processes, "b")
	for _, p := range processes {
		p.stop(t)
	}
	var back []*process
	for i, c := range settings {
		c.Rejoin = true
		if i < tolerated {
			if err := os.RemoveAll(c.DataFolder); err != nil {
				t.Fatal(err)
			}
		}
		back = append(back, start(t, c))
	}
	propose(t, back, "c")
	for _, p := range back {
		eventually(t, "all commands", func() bool { return cmp.Equal([]string{"a", "b", "c"}, p.journal.all()) })
	}
	eventually(t, "all vote again", func() bool { return len(voterNames(leaderOf(t, back))) == 2*tolerated+1 })
}
