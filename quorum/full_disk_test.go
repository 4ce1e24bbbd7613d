package quorum_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/quorum"
	"burdocksaddle/storage"
)

// fillableDisk returns a file system that refuses every write while full is set; a part of the data is written before.
func fillableDisk(full *atomic.Bool) storage.FileSystem {
	disk := storage.OSFileSystem()
	create := disk.Create
	disk.Create = func(name string) (storage.File, error) {
		f, err := create(name)
		write := f.Write
		f.Write = func(p []byte) (int, error) {
			if !full.Load() {
				return write(p)
			}
			n, _ := write(p[:len(p)/2])
			return n, syscall.ENOSPC
		}
		return f, err
	}
	return disk
}

// startOnFillableDisks starts a group of voters and returns a switch for each that fills its disk.
func startOnFillableDisks(t *testing.T, voters int) ([]*process, []*atomic.Bool) {
	t.Helper()
	var processes []*process
	var full []*atomic.Bool
	for _, config := range testConfigs(t, voters, 0) {
		config.ReplaceAfter = 0
		isFull := &atomic.Bool{}
		full = append(full, isFull)
		processes = append(processes, startOn(t, config, sharedNetwork, quorum.WithFileSystem(fillableDisk(isFull))))
	}
	return processes, full
}

func TestQuorumSurvivesDisksThatWereFullInTurn(t *testing.T) {
	for _, voters := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(voters), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) { testQuorumSurvivesDisksThatWereFullInTurn(t, voters) })
		})
	}
}

func testQuorumSurvivesDisksThatWereFullInTurn(t *testing.T, voters int) {
	processes, full := startOnFillableDisks(t, voters)
	propose(t, processes, "before")
	for i := range processes {
		full[i].Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), 100*testTick)
		for j := 0; ctx.Err() == nil; j++ {
			// The outcome of a command during the fault may be unknown.
			_, _ = leaderOf(t, processes).Propose(ctx, fmt.Appendf(nil, "full %d.%d", i, j))
			time.Sleep(testTick)
		}
		cancel()
		full[i].Store(false)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	eventually(t, "a command is committed once all disks have room", func() bool {
		_, err := leaderOf(t, processes).Propose(ctx, []byte("after"))
		return err == nil
	})
	for _, p := range processes {
		if _, err := p.ReadBarrier(ctx); err != nil {
			t.Errorf("%s cannot read: %v", p.config.Name, err)
		}
	}
}

// stallingDisk returns a file system whose syncs do not return while stalled is set and the context has not ended.
func stallingDisk(ctx context.Context, stalled *atomic.Bool) storage.FileSystem {
	disk := storage.OSFileSystem()
	create := disk.Create
	disk.Create = func(name string) (storage.File, error) {
		f, err := create(name)
		sync := f.Sync
		f.Sync = func() error {
			for stalled.Load() && ctx.Err() == nil {
				time.Sleep(testTick)
			}
			return sync()
		}
		return f, err
	}
	return disk
}

func TestLeaderWhoseDiskStallsHandsOver(t *testing.T) {
	runInBubble(t, testLeaderWhoseDiskStallsHandsOver)
}

func testLeaderWhoseDiskStallsHandsOver(t *testing.T) {
	var processes []*process
	stalled := map[*process]*atomic.Bool{}
	for _, config := range testConfigs(t, 3, 0) {
		config.ReplaceAfter = 0
		isStalled := &atomic.Bool{}
		p := startOn(t, config, sharedNetwork, quorum.WithFileSystem(stallingDisk(t.Context(), isStalled)))
		processes, stalled[p] = append(processes, p), isStalled
	}
	propose(t, processes, "before")
	old := leaderOf(t, processes)
	stalled[old].Store(true)
	start := time.Now()
	eventually(t, "a command is committed while the disk stalls", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 10*testTick)
		defer cancel()
		for _, p := range processes {
			if _, err := p.Propose(ctx, []byte("during")); err == nil {
				return true
			}
		}
		return false
	})
	if took := time.Since(start); took > 60*testTick {
		t.Errorf("nothing was committed for %v", took)
	}
	eventually(t, "another member leads", func() bool { _, self := old.Leader(); return !self })
	stalled[old].Store(false)
	eventually(t, "the member has caught up", func() bool {
		return cmp.Equal(leaderOf(t, processes).commandLog.all(), old.commandLog.all())
	})
}

func TestStandbyReplacesVoterWhoseDiskStaysFull(t *testing.T) {
	runInBubble(t, testStandbyReplacesVoterWhoseDiskStaysFull)
}

func testStandbyReplacesVoterWhoseDiskStaysFull(t *testing.T) {
	var processes []*process
	full := map[*process]*atomic.Bool{}
	for _, config := range testConfigs(t, 3, 1) {
		isFull := &atomic.Bool{}
		p := startOn(t, config, sharedNetwork, quorum.WithFileSystem(fillableDisk(isFull)))
		processes, full[p] = append(processes, p), isFull
	}
	propose(t, processes, "before")
	leader := leaderOf(t, processes)
	eventually(t, "the standby learner", func() bool { return len(leader.Members()) == 4 })
	follower := processes[indexOfFollower(processes, leader, 1)]
	full[follower].Store(true)
	propose(t, processes, "during")
	eventually(t, "the standby is a voter in its place", func() bool {
		names := voterNames(leader)
		return len(names) == 3 && slices.Contains(names, "m3") && !slices.Contains(names, follower.config.Name)
	})
	full[follower].Store(false)
	propose(t, processes, "after")
	eventually(t, "the member has caught up", func() bool {
		return cmp.Equal([]string{"before", "during", "after"}, follower.commandLog.all())
	})
}

func TestMemberWhoseDiskStallsReadsAndAnswers(t *testing.T) {
	runInBubble(t, testMemberWhoseDiskStallsReadsAndAnswers)
}

func testMemberWhoseDiskStallsReadsAndAnswers(t *testing.T) {
	var processes []*process
	stalled := map[*process]*atomic.Bool{}
	for _, config := range testConfigs(t, 3, 0) {
		isStalled := &atomic.Bool{}
		p := startOn(t, config, sharedNetwork, quorum.WithFileSystem(stallingDisk(t.Context(), isStalled)))
		processes, stalled[p] = append(processes, p), isStalled
	}
	propose(t, processes, "before")
	leader := leaderOf(t, processes)
	follower := processes[indexOfFollower(processes, leader, 1)]
	for _, p := range []*process{leader, follower} {
		eventually(t, "everything is on disk", func() bool { return p.WriteAge() == 0 })
		stalled[p].Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), 5*testTick)
		if _, err := leader.Propose(ctx, []byte("during")); err != nil {
			t.Errorf("a leader of three with one disk that stalls answered %v", err)
		}
		if _, err := p.ReadBarrier(ctx); err != nil {
			t.Errorf("a member whose disk stalls cannot read: %v", err)
		}
		if time.Sleep(testTick); p.WriteAge() == 0 {
			t.Error("the disk did not stall")
		}
		if diff := cmp.Diff(leader.commandLog.all(), p.commandLog.all()); diff != "" {
			t.Error(diff)
		}
		cancel()
		stalled[p].Store(false)
	}
}

func TestMemberWhoseDirectoryIsGoneStops(t *testing.T) {
	runInBubble(t, testMemberWhoseDirectoryIsGoneStops)
}

func testMemberWhoseDirectoryIsGoneStops(t *testing.T) {
	var full atomic.Bool
	config := testConfigs(t, 1, 0)[0]
	l, err := quorum.Open(config, quorum.WithTick(testTick), quorum.WithFileSystem(fillableDisk(&full)))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	ended := l.Run(ctx)
	eventually(t, "leadership", func() bool { _, self := l.Leader(); return self })
	if err := os.RemoveAll(config.DataDir); err != nil {
		t.Fatal(err)
	}
	full.Store(true)
	_, _ = l.Propose(ctx, []byte("a")) // its outcome is unknown
	if err := <-ended; !storage.IsErrCorrupt(err) {
		t.Errorf("stopped with %v, want ErrCorrupt", err)
	}
	full.Store(false)
	again, err := quorum.Open(config, quorum.WithTick(testTick))
	if err != nil {
		t.Fatalf("start without a directory: %v", err)
	}
	ctx, cancel = context.WithCancel(t.Context())
	ended = again.Run(ctx)
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// slowDisk returns a file system whose syncs take the given time.
func slowDisk(delay *atomic.Int64) storage.FileSystem {
	disk := storage.OSFileSystem()
	create := disk.Create
	disk.Create = func(name string) (storage.File, error) {
		f, err := create(name)
		sync := f.Sync
		f.Sync = func() error {
			time.Sleep(time.Duration(delay.Load()))
			return sync()
		}
		return f, err
	}
	return disk
}

func TestGroupOfSlowDisksKeepsItsLeader(t *testing.T) {
	for _, ticks := range []int64{2, 4, 5, 6, 7, 9, 15, 25} {
		t.Run(fmt.Sprint(ticks), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) { testGroupOfSlowDisksKeepsItsLeader(t, ticks) })
		})
	}
}

func testGroupOfSlowDisksKeepsItsLeader(t *testing.T, ticks int64) {
	var processes []*process
	delay := &atomic.Int64{}
	for _, config := range testConfigs(t, 3, 0) {
		config.ReplaceAfter = 0
		processes = append(processes, startOn(t, config, sharedNetwork, quorum.WithFileSystem(slowDisk(delay))))
	}
	propose(t, processes, "before")
	leader := leaderOf(t, processes)
	term := leader.Term()
	delay.Store(ticks * int64(testTick))
	const span = 600
	ctx, cancel := context.WithTimeout(t.Context(), span*testTick)
	defer cancel()
	committed := int64(0)
	for ctx.Err() == nil {
		if _, err := leader.Propose(ctx, []byte("during")); err == nil {
			committed++
		} else {
			time.Sleep(testTick)
		}
	}
	if diff := cmp.Diff(term, leader.Term()); diff != "" || committed < span/(2*ticks) {
		t.Errorf("%d commits in %d ticks, terms: %s", committed, span, diff)
	}
}

func TestMemberThatLacksEntriesProvesNoQuorum(t *testing.T) {
	runInBubble(t, testMemberThatLacksEntriesProvesNoQuorum)
}

func testMemberThatLacksEntriesProvesNoQuorum(t *testing.T) {
	processes, full := startOnFillableDisks(t, 3)
	propose(t, processes, "before")
	leader := leaderOf(t, processes)
	i := indexOfFollower(processes, leader, 1)
	follower := processes[i]
	full[i].Store(true)
	for range 200 {
		propose(t, processes, "during")
		time.Sleep(testTick)
		if age := follower.QuorumProofAge(); follower.Applied() < leader.Applied() && age < 20*testTick {
			t.Fatalf("a member that has applied %d of %d entries has a proof %v old", follower.Applied(), leader.Applied(), age)
		}
	}
	full[i].Store(false)
	eventually(t, "a fresh proof", func() bool { return follower.QuorumProofAge() < 10*testTick && follower.Applied() == leader.Applied() })
}

func TestRepairDoesNotDependOnAnotherFullDisk(t *testing.T) {
	runInBubble(t, testRepairDoesNotDependOnAnotherFullDisk)
}

func testRepairDoesNotDependOnAnotherFullDisk(t *testing.T) {
	var processes []*process
	full := map[*process]*atomic.Bool{}
	for _, config := range testConfigs(t, 3, 1) {
		isFull := &atomic.Bool{}
		p := startOn(t, config, sharedNetwork, quorum.WithFileSystem(fillableDisk(isFull)))
		processes, full[p] = append(processes, p), isFull
	}
	propose(t, processes, "before")
	leader := leaderOf(t, processes)
	eventually(t, "the standby learner", func() bool { return len(leader.Members()) == 4 })
	time.Sleep(20 * testTick)
	for _, p := range processes[:3] {
		full[p].Store(p != leader)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*testTick)
	defer cancel()
	_, _ = leader.Propose(ctx, []byte("during")) // its outcome is unknown
	time.Sleep(200 * testTick)
	back := processes[indexOfFollower(processes, leader, 1)]
	if second := processes[indexOfFollower(processes, leader, 2)]; !slices.Contains(voterNames(leader), second.config.Name) {
		back = second // the leader has removed it, and must not have
	}
	full[back].Store(false)
	start := time.Now()
	eventually(t, "a commit once two of three voters take writes", func() bool {
		one, stop := context.WithTimeout(t.Context(), 10*testTick)
		defer stop()
		_, err := leaderOf(t, processes).Propose(one, []byte("after"))
		return err == nil
	})
	if took := time.Since(start); took > 60*testTick {
		t.Errorf("the first commit took %v", took)
	}
}
