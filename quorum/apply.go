package quorum

import (
	"context"
	"slices"

	"burdocksaddle/consensus"
)

// applyTask is a unit of work for the apply loop. Its readers are released once the barrier index is applied.
type applyTask struct {
	restore        *consensus.Snapshot
	entries        []consensus.Entry
	entryProposals []*proposal
	barrier        uint64
	readers        []*reader
}

// stateSnapshot is the state as of an applied index.
type stateSnapshot struct {
	index uint64
	state []byte
}

// applyLoop applies committed commands in order; an error stops the member.
func (l *Log) applyLoop(ctx context.Context) error {
	var barriers []applyTask
	lastSnapshot, appliedBytes := uint64(0), 0
	for {
		var task applyTask
		select {
		case <-ctx.Done():
			return nil
		case task = <-l.applies:
		}
		if task.restore != nil {
			lastSnapshot, appliedBytes = task.restore.Index, 0
			if err := l.restoreState(*task.restore); err != nil {
				return err
			}
		}
		for i, e := range task.entries {
			l.applyEntry(e, task.entryProposals[i])
			appliedBytes += len(e.Data)
		}
		if len(task.readers) > 0 {
			barriers = append(barriers, task)
		}
		barriers = l.releaseReaders(barriers)
		due := l.Applied() >= lastSnapshot+uint64(l.config.SnapshotEntries) || appliedBytes >= l.config.SnapshotBytes
		if l.snapshot == nil || !due {
			continue
		}
		lastSnapshot, appliedBytes = l.Applied(), 0
		if err := l.takeSnapshot(ctx); err != nil {
			return err
		}
	}
}

func (l *Log) restoreState(s consensus.Snapshot) error {
	if l.restore != nil && len(s.State) > 0 {
		if err := l.restore(s.Index, s.State); err != nil {
			return err
		}
	}
	l.applied.Store(s.Index)
	return nil
}

func (l *Log) applyEntry(e consensus.Entry, p *proposal) {
	var value any
	if e.Kind == consensus.EntryCommand {
		value = l.apply(e.Index, e.Data)
	}
	l.applied.Store(e.Index)
	if p != nil {
		p.result <- proposalResult{value: value}
	}
}

func (l *Log) releaseReaders(barriers []applyTask) []applyTask {
	var waiting []applyTask
	for _, b := range barriers {
		if l.Applied() < b.barrier {
			if b.readers = slices.DeleteFunc(b.readers, isCancelled); len(b.readers) > 0 {
				waiting = append(waiting, b)
			}
			continue
		}
		for _, r := range b.readers {
			r.result <- b.barrier
		}
	}
	return waiting
}

func (l *Log) takeSnapshot(ctx context.Context) error {
	state, err := l.snapshot()
	if err != nil {
		return err
	}
	select {
	case l.snapshots <- stateSnapshot{index: l.Applied(), state: state}:
	case <-ctx.Done():
	}
	return nil
}
