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

// diskFault is what is wrong with the disk of a member.
type diskFault struct {
	// full makes every write fail after a part of its data, stalled keeps syncs from returning.
	full, stalled atomic.Bool
	// delay is how long a sync takes.
	delay atomic.Int64
}

// files returns the operating system's file system with the faults. Stalls end with the context.
func (f *diskFault) files(ctx context.Context) storage.FileSystem {
	disk := storage.OSFileSystem()
	create := disk.Create
	disk.Create = func(name string) (storage.File, error) {
		file, err := create(name)
		write, sync := file.Write, file.Sync
		file.Write = func(p []byte) (int, error) {
			if !f.full.Load() {
				return write(p)
			}
			n, _ := write(p[:len(p)/2])
			return n, syscall.ENOSPC
		}
		file.Sync = func() error {
			time.Sleep(time.Duration(f.delay.Load()))
			for f.stalled.Load() && ctx.Err() == nil {
				time.Sleep(testTick)
			}
			return sync()
		}
		return file, err
	}
	return disk
}

// startWithDiskFaults starts voters and standby learners, commits a command and returns the leader and the disk fault of each.
func startWithDiskFaults(t *testing.T, voters, standing int) (processes []*process, leader *process, disks map[*process]*diskFault) {
	t.Helper()
	disks = map[*process]*diskFault{}
	for _, config := range testConfigs(t, voters, standing) {
		if standing == 0 {
			config.ReplaceAfter = 0
		}
		disk := &diskFault{}
		p := startOn(t, config, sharedNetwork, quorum.WithFileSystem(disk.files(t.Context())))
		processes, disks[p] = append(processes, p), disk
	}
	propose(t, processes, "before")
	leader = leaderOf(t, processes)
	eventually(t, "all members", func() bool { return len(leader.Members()) == voters+standing })
	return processes, leader, disks
}

func TestQuorumSurvivesDisksThatWereFullInTurn(t *testing.T) {
	for _, voters := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(voters), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) { testQuorumSurvivesDisksThatWereFullInTurn(t, voters) })
		})
	}
}

func testQuorumSurvivesDisksThatWereFullInTurn(t *testing.T, voters int) {
	processes, _, disks := startWithDiskFaults(t, voters, 0)
	for i, p := range processes {
		disks[p].full.Store(true)
		ctx, cancel := context.WithTimeout(t.Context(), 100*testTick)
		for j := 0; ctx.Err() == nil; j++ {
			// The outcome of a command during the fault may be unknown.
			_, _ = leaderOf(t, processes).Propose(ctx, fmt.Appendf(nil, "full %d.%d", i, j))
			time.Sleep(testTick)
		}
		cancel()
		disks[p].full.Store(false)
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

func TestLeaderWhoseDiskStallsHandsOver(t *testing.T) {
	runInBubble(t, testLeaderWhoseDiskStallsHandsOver)
}

func testLeaderWhoseDiskStallsHandsOver(t *testing.T) {
	processes, old, disks := startWithDiskFaults(t, 3, 0)
	disks[old].stalled.Store(true)
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
	disks[old].stalled.Store(false)
	eventually(t, "the member has caught up", func() bool {
		return cmp.Equal(leaderOf(t, processes).commandLog.all(), old.commandLog.all())
	})
}

func TestStandbyReplacesVoterWhoseDiskStaysFull(t *testing.T) {
	runInBubble(t, testStandbyReplacesVoterWhoseDiskStaysFull)
}

func testStandbyReplacesVoterWhoseDiskStaysFull(t *testing.T) {
	processes, leader, disks := startWithDiskFaults(t, 3, 1)
	follower := processes[indexOfFollower(processes, leader, 1)]
	disks[follower].full.Store(true)
	propose(t, processes, "during")
	eventually(t, "the standby is a voter in its place", func() bool {
		names := voterNames(leader)
		return len(names) == 3 && slices.Contains(names, "m3") && !slices.Contains(names, follower.config.Name)
	})
	disks[follower].full.Store(false)
	propose(t, processes, "after")
	eventually(t, "the member has caught up", func() bool {
		return cmp.Equal([]string{"before", "during", "after"}, follower.commandLog.all())
	})
}

func TestMemberWhoseDiskStallsReadsAndAnswers(t *testing.T) {
	runInBubble(t, testMemberWhoseDiskStallsReadsAndAnswers)
}

func testMemberWhoseDiskStallsReadsAndAnswers(t *testing.T) {
	processes, leader, disks := startWithDiskFaults(t, 3, 0)
	follower := processes[indexOfFollower(processes, leader, 1)]
	for _, p := range []*process{leader, follower} {
		eventually(t, "everything is on disk", func() bool { return p.WriteAge() == 0 })
		disks[p].stalled.Store(true)
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
		disks[p].stalled.Store(false)
	}
}

func TestMemberWhoseDirectoryIsGoneStops(t *testing.T) {
	runInBubble(t, testMemberWhoseDirectoryIsGoneStops)
}

func testMemberWhoseDirectoryIsGoneStops(t *testing.T) {
	disk := &diskFault{}
	config := testConfigs(t, 1, 0)[0]
	l, err := quorum.Open(config, quorum.WithTick(testTick), quorum.WithFileSystem(disk.files(t.Context())))
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
	disk.full.Store(true)
	_, _ = l.Propose(ctx, []byte("a")) // its outcome is unknown
	if err := <-ended; !storage.IsErrCorrupt(err) {
		t.Errorf("stopped with %v, want ErrCorrupt", err)
	}
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

func TestGroupOfSlowDisksKeepsItsLeader(t *testing.T) {
	for _, ticks := range []int64{2, 4, 5, 6, 7, 9, 15, 25} {
		t.Run(fmt.Sprint(ticks), func(t *testing.T) {
			runInBubble(t, func(t *testing.T) { testGroupOfSlowDisksKeepsItsLeader(t, ticks) })
		})
	}
}

func testGroupOfSlowDisksKeepsItsLeader(t *testing.T, ticks int64) {
	_, leader, disks := startWithDiskFaults(t, 3, 0)
	term := leader.Term()
	for _, disk := range disks {
		disk.delay.Store(ticks * int64(testTick))
	}
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
	processes, leader, disks := startWithDiskFaults(t, 3, 0)
	follower := processes[indexOfFollower(processes, leader, 1)]
	disks[follower].full.Store(true)
	for range 200 {
		propose(t, processes, "during")
		time.Sleep(testTick)
		if age := follower.QuorumProofAge(); follower.Applied() < leader.Applied() && age < 20*testTick {
			t.Fatalf("a member that has applied %d of %d entries has a proof %v old", follower.Applied(), leader.Applied(), age)
		}
	}
	disks[follower].full.Store(false)
	eventually(t, "a fresh proof", func() bool { return follower.QuorumProofAge() < 10*testTick && follower.Applied() == leader.Applied() })
}

func TestRepairDoesNotDependOnAnotherFullDisk(t *testing.T) {
	runInBubble(t, testRepairDoesNotDependOnAnotherFullDisk)
}

func testRepairDoesNotDependOnAnotherFullDisk(t *testing.T) {
	processes, leader, disks := startWithDiskFaults(t, 3, 1)
	time.Sleep(20 * testTick)
	for _, p := range processes[:3] {
		disks[p].full.Store(p != leader)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*testTick)
	defer cancel()
	_, _ = leader.Propose(ctx, []byte("during")) // its outcome is unknown
	time.Sleep(200 * testTick)
	back := processes[indexOfFollower(processes, leader, 1)]
	if second := processes[indexOfFollower(processes, leader, 2)]; !slices.Contains(voterNames(leader), second.config.Name) {
		back = second // the leader has removed it, and must not have
	}
	disks[back].full.Store(false)
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
