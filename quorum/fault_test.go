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

// failingDisk returns a file system on which every sync of a file fails while fail is set.
func failingDisk(fail *atomic.Bool) storage.FileSystem {
	disk := storage.OSFileSystem()
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

func TestRefusedWriteIsNotAcknowledgedBeforeItIsOnDisk(t *testing.T) {
	runInBubble(t, testRefusedWriteIsNotAcknowledgedBeforeItIsOnDisk)
}

func testRefusedWriteIsNotAcknowledgedBeforeItIsOnDisk(t *testing.T) {
	var fail atomic.Bool
	var wrote, failed atomic.Int64
	var commands commandLog
	config := quorum.Config{DataDir: filepath.Join(t.TempDir(), "data"), Name: "m0", Address: "127.0.0.1:1"}
	open := func() *quorum.Log {
		l, err := quorum.Open(config, quorum.WithTick(testTick), quorum.WithFileSystem(failingDisk(&fail)), quorum.WithApply(commands.apply),
			quorum.WithWriteObserver(func(time.Duration) { wrote.Add(1) }), quorum.WithFailureObserver(func(storage.ErrFailed) { failed.Add(1) }))
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	l := open()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	ended := l.Run(ctx)
	eventually(t, "leadership", func() bool { _, self := l.Leader(); return self })
	if _, err := l.Propose(ctx, []byte("a")); err != nil {
		t.Fatal(err)
	}
	if wrote.Load() == 0 {
		t.Error("the write observer was not called")
	}
	fail.Store(true)
	during, cancelProposal := context.WithTimeout(ctx, 50*testTick)
	defer cancelProposal()
	if _, err := l.Propose(during, []byte("b")); !quorum.IsErrOutcomeUnknown(err) {
		t.Errorf("proposal on a failed disk returned %v, want ErrOutcomeUnknown", err)
	}
	if diff := cmp.Diff([]string{"a"}, commands.all()); diff != "" || failed.Load() == 0 || l.Stopped() || l.WriteAge() < 40*testTick {
		t.Errorf("%d failures, stopped %v, write age %v, applied: %s", failed.Load(), l.Stopped(), l.WriteAge(), diff)
	}
	fail.Store(false)
	if _, err := l.Propose(ctx, []byte("c")); err != nil {
		t.Errorf("proposal on a disk that has recovered: %v", err)
	}
	if age := l.WriteAge(); age != 0 {
		t.Errorf("the write in progress is %v old, want none", age)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Errorf("stopped with %v", err)
	}
	if _, err := l.Propose(t.Context(), []byte("d")); !quorum.IsErrNeverCommitted(err) {
		t.Errorf("proposal after the stop returned %v, want ErrNeverCommitted", err)
	}
	if _, err := l.ReadBarrier(t.Context()); !quorum.IsErrStopped(err) {
		t.Errorf("read after the stop returned %v, want ErrStopped", err)
	}
	if diff := cmp.Diff(quorum.NoProof, l.QuorumProofAge()); diff != "" {
		t.Error(diff)
	}
	commands = commandLog{}
	ctx, cancel = context.WithTimeout(t.Context(), testTimeout)
	again := open()
	ended = again.Run(ctx)
	eventually(t, "all commands after a restart", func() bool { return cmp.Equal([]string{"a", "b", "c"}, commands.all()) })
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestCorruptMemberRejoinsAsLearner flips a byte in the middle of a follower's log. The member must rejoin with a new
// ID.
func TestCorruptMemberRejoinsAsLearner(t *testing.T) {
	runInBubble(t, testCorruptMemberRejoinsAsLearner)
}

func testCorruptMemberRejoinsAsLearner(t *testing.T) {
	processes := startAll(t, testConfigs(t, 3, 0))
	for range 10 {
		propose(t, processes, "c")
	}
	leader := leaderOf(t, processes)
	followerIndex := indexOfFollower(processes, leader, 1)
	old := processes[followerIndex].Members()
	processes[followerIndex].stop(t)
	segment := filepath.Join(processes[followerIndex].config.DataDir, "segment-0000000000000001")
	data, err := os.ReadFile(segment)
	if err != nil {
		t.Fatal(err)
	}
	data[len(data)/2] ^= 1
	if err := os.WriteFile(segment, data, 0o600); err != nil {
		t.Fatal(err)
	}
	processes[followerIndex] = start(t, processes[followerIndex].config)
	eventually(t, "new member ID among the voters", func() bool {
		members := leaderOf(t, processes).Members()
		return len(members) == 3 && len(voterNames(leaderOf(t, processes))) == 3 && !cmp.Equal(ids(old), ids(members))
	})
	eventually(t, "all commands", func() bool { return len(processes[followerIndex].commandLog.all()) == 10 })
}

func ids(members []quorum.MemberStatus) []uint64 {
	var out []uint64
	for _, m := range members {
		out = append(out, m.ID)
	}
	return out
}

// maxIdleBytesPerSecond limits the control traffic of an idle node.
const maxIdleBytesPerSecond = 4 << 10

// TestIdleTrafficIsBounded measures the leader's traffic at the default tick while no commands are proposed.
func TestIdleTrafficIsBounded(t *testing.T) { runInBubble(t, testIdleTrafficIsBounded) }

func testIdleTrafficIsBounded(t *testing.T) {
	for _, voters := range []int{3, 5} {
		network := newNetwork()
		var processes []*process
		for _, config := range testConfigs(t, voters, 0) {
			processes = append(processes, startOn(t, config, network, quorum.WithTick(100*time.Millisecond)))
		}
		propose(t, processes, "a")
		leader := leaderOf(t, processes)
		before, began := network.host(leader.config.Address).bytes.Load(), time.Now()
		time.Sleep(2 * time.Second)
		rate := float64(network.host(leader.config.Address).bytes.Load()-before) / time.Since(began).Seconds()
		t.Logf("%d voters: the leader sends and receives %.0f bytes per second", voters, rate)
		if rate > maxIdleBytesPerSecond {
			t.Errorf("%d voters: %.0f bytes per second, limit %d", voters, rate, maxIdleBytesPerSecond)
		}
		for _, p := range processes {
			p.stop(t)
		}
	}
}
