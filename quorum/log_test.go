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
	testTick    = 20 * time.Millisecond
	testTimeout = 20 * time.Second
)

// commandLog is a state machine that records every command.
type commandLog struct {
	mu       sync.Mutex
	commands []string
}

func (c *commandLog) apply(_ uint64, command []byte) any {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commands = append(c.commands, string(command))
	return len(c.commands)
}

func (c *commandLog) snapshot() ([]byte, error) {
	return []byte(strings.Join(c.all(), "\n")), nil
}

func (c *commandLog) restore(_ uint64, state []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.commands = strings.Split(string(state), "\n")
	return nil
}

func (c *commandLog) all() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string{}, c.commands...)
}

// process is a running member.
type process struct {
	*quorum.Log
	config     quorum.Config
	commandLog *commandLog
	cancel     context.CancelFunc
	ended      <-chan error
	served     <-chan error
	once       sync.Once
	stopped    bool
}

// runInBubble runs a test in a synctest bubble, whose clock advances only while every goroutine waits, so that a busy
// machine does not affect the test. The sessions' library pools its timers, which must not come from another bubble:
// two garbage collections empty the pool.
func runInBubble(t *testing.T, test func(t *testing.T)) {
	dropPooledTimers()
	synctest.Test(t, test)
}

func dropPooledTimers() {
	runtime.GC()
	runtime.GC()
}

func start(t *testing.T, config quorum.Config) *process {
	t.Helper()
	return startOn(t, config, sharedNetwork)
}

func startOn(t *testing.T, config quorum.Config, network *network, options ...quorum.Option) *process {
	t.Helper()
	p := &process{config: config, commandLog: &commandLog{}}
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(t.Context())
	pool := network.pool(config.Address)
	var err error
	options = append([]quorum.Option{quorum.WithTick(testTick), quorum.WithPool(pool), quorum.WithApply(p.commandLog.apply),
		quorum.WithSnapshot(p.commandLog.snapshot), quorum.WithRestore(p.commandLog.restore)}, options...)
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
			t.Errorf("%s stopped with %v", p.config.Name, err)
		}
		if err := <-p.served; err != nil {
			t.Errorf("server of %s stopped with %v", p.config.Name, err)
		}
	})
}

// addressCount counts the addresses used by the tests.
var addressCount atomic.Uint32

// addresses returns unused addresses of the in-memory network.
func addresses(count int) []string {
	var out []string
	for range count {
		out = append(out, fmt.Sprint("member-", addressCount.Add(1)))
	}
	return out
}

// testConfigs returns the settings of the voters, followed by those of the standby learners.
func testConfigs(t *testing.T, voters, standing int) []quorum.Config {
	t.Helper()
	all := addresses(voters + standing)
	var peers []quorum.Peer
	for i := range voters {
		peers = append(peers, quorum.Peer{Name: fmt.Sprint("m", i), Address: all[i]})
	}
	var out []quorum.Config
	for i, address := range all {
		out = append(out, quorum.Config{
			DataDir: filepath.Join(t.TempDir(), "data"), Name: fmt.Sprint("m", i), Address: address, Bootstrap: peers,
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
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(testTick / 4) {
		if holds() {
			return
		}
	}
	t.Fatal("condition not met in time: " + what)
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

// propose commits a command through the current leader.
func propose(t *testing.T, processes []*process, command string) {
	t.Helper()
	eventually(t, "commit of "+command, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
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
	for name, dir := range map[string]string{"in memory": "", "on disk": filepath.Join(t.TempDir(), "data")} {
		t.Run(name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T) {
				p := start(t, quorum.Config{DataDir: dir, Name: "m0", Address: addresses(1)[0]})
				propose(t, []*process{p}, "a")
				index, err := p.ReadBarrier(t.Context())
				if err != nil || index != p.Applied() {
					t.Errorf("barrier %d, %v; applied %d", index, err, p.Applied())
				}
				if age := p.QuorumProofAge(); age > 3*testTick+time.Second {
					t.Errorf("the proof of a single member is %v old", age)
				}
			})
		})
	}
}

func TestThreeMembersSurviveLeaderStop(t *testing.T) {
	runInBubble(t, testThreeMembersSurviveLeaderStop)
}

func testThreeMembersSurviveLeaderStop(t *testing.T) {
	processes := startAll(t, testConfigs(t, 3, 0))
	for i := range 50 {
		propose(t, processes, fmt.Sprint("c", i))
	}
	old := leaderOf(t, processes)
	old.stop(t)
	if _, err := old.Propose(t.Context(), []byte("x")); !quorum.IsErrNeverCommitted(err) {
		t.Errorf("a stopped member returned %v, want ErrNeverCommitted", err)
	}
	if age := old.QuorumProofAge(); age != quorum.NoProof {
		t.Errorf("a stopped member reports a proof %v old", age)
	}
	var live []*process
	for _, p := range processes {
		if p != old {
			live = append(live, p)
		}
	}
	propose(t, live, "after")
	again := start(t, old.config)
	eventually(t, "the old leader catches up", func() bool { return len(again.commandLog.all()) == 51 })
	for _, p := range live {
		if _, err := p.ReadBarrier(t.Context()); err != nil {
			t.Error(err)
		}
		if diff := cmp.Diff(p.commandLog.all(), again.commandLog.all()); diff != "" {
			t.Error(diff)
		}
		eventually(t, "fresh proof", func() bool { return p.QuorumProofAge() < 10*testTick })
	}
}

func TestFollowerRejectsProposalWithLeaderAddress(t *testing.T) {
	runInBubble(t, testFollowerRejectsProposalWithLeaderAddress)
}

func testFollowerRejectsProposalWithLeaderAddress(t *testing.T) {
	processes := startAll(t, testConfigs(t, 3, 0))
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

func TestLeadershipTransfer(t *testing.T) { runInBubble(t, testLeadershipTransfer) }

func testLeadershipTransfer(t *testing.T) {
	processes := startAll(t, testConfigs(t, 3, 0))
	propose(t, processes, "a")
	leader := leaderOf(t, processes)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if err := leader.TransferLeader(ctx); err != nil {
		t.Fatal(err)
	}
	eventually(t, "another leader", func() bool { return leaderOf(t, processes) != leader })
	propose(t, processes, "b")
}

// TestWipedMemberRejoinsAsLearner deletes the data of a voter, which must rejoin as a learner before it votes again.
func TestWipedMemberRejoinsAsLearner(t *testing.T) {
	runInBubble(t, testWipedMemberRejoinsAsLearner)
}

func testWipedMemberRejoinsAsLearner(t *testing.T) {
	processes := startAll(t, testConfigs(t, 3, 0))
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
		config.DataDir = filepath.Join(t.TempDir(), "wiped")
		processes[at] = start(t, config)
		break
	}
	eventually(t, "three voters and no old identity", func() bool {
		members := leaderOf(t, processes).Members()
		return len(members) == 3 && len(voterNames(leaderOf(t, processes))) == 3
	})
	propose(t, processes, "after")
	for _, p := range processes {
		eventually(t, "all commands everywhere", func() bool { return len(p.commandLog.all()) == 61 })
	}
}

// TestStandbyLearnerReplacesLostVoter stops one voter permanently and a second one right after the first is replaced.
func TestStandbyLearnerReplacesLostVoter(t *testing.T) {
	runInBubble(t, testStandbyLearnerReplacesLostVoter)
}

func testStandbyLearnerReplacesLostVoter(t *testing.T) {
	processes := startAll(t, testConfigs(t, 3, 1))
	propose(t, processes, "a")
	leader := leaderOf(t, processes)
	eventually(t, "the standby learner", func() bool { return len(leader.Members()) == 4 })
	processes[indexOfFollower(processes, leader, 1)].stop(t)
	eventually(t, "the learner is a voter", func() bool {
		return cmp.Equal(3, len(voterNames(leader))) && strings.Contains(strings.Join(voterNames(leader), " "), "m3")
	})
	propose(t, processes, "b")
	leader.stop(t)
	first := processes[indexOfFollower(processes, leader, 1)]
	var live []*process
	for _, p := range processes {
		if !p.stopped {
			live = append(live, p)
		}
	}
	propose(t, live, "c")
	for _, p := range live {
		eventually(t, "all commands", func() bool { return cmp.Equal([]string{"a", "b", "c"}, p.commandLog.all()) })
	}
	back := start(t, first.config)
	eventually(t, "the first voter replaces the second one", func() bool {
		return cmp.Equal([]string{"a", "b", "c"}, back.commandLog.all()) && strings.Contains(strings.Join(voterNames(leaderOf(t, live)), " "), first.config.Name)
	})
}

// indexOfFollower returns the index of the nth voter that is not the leader.
func indexOfFollower(processes []*process, leader *process, n int) int {
	for i, p := range processes {
		if p != leader && !p.config.Standing {
			if n--; n == 0 {
				return i
			}
		}
	}
	return -1
}

// TestVotersForTolerance starts five members, three of them as initial voters, stops all of them and deletes the data
// of two initial voters, as after a power failure that destroys two disks. Committed commands must survive and the
// group must continue.
func TestVotersForTolerance(t *testing.T) { runInBubble(t, testVotersForTolerance) }

func testVotersForTolerance(t *testing.T) {
	const tolerated = 2
	settings := testConfigs(t, 3, 2)
	for i := range settings {
		settings[i].Standing, settings[i].Voters = false, 2*tolerated+1
	}
	processes := startAll(t, settings)
	propose(t, processes, "a")
	eventually(t, "all members are voters", func() bool { return len(voterNames(leaderOf(t, processes))) == 2*tolerated+1 })
	propose(t, processes, "b")
	for _, p := range processes {
		p.stop(t)
	}
	var back []*process
	for i, c := range settings {
		c.JoinOnly = true
		if i < tolerated {
			if err := os.RemoveAll(c.DataDir); err != nil {
				t.Fatal(err)
			}
		}
		back = append(back, start(t, c))
	}
	propose(t, back, "c")
	for _, p := range back {
		eventually(t, "all commands", func() bool { return cmp.Equal([]string{"a", "b", "c"}, p.commandLog.all()) })
	}
	eventually(t, "all members are voters again", func() bool { return len(voterNames(leaderOf(t, back))) == 2*tolerated+1 })
}
