package quorum

import (
	"context"
	"slices"

	"burdocksaddle/consensus"
)

// work is one piece for the apply loop; a barrier lets its readers go once its index is applied.
type work struct {
	restore *consensus.Snapshot
	entries []consensus.Entry
	waiting []*proposal
	barrier uint64
	readers []*reader
}

// taken is a state as of an applied index.
type taken struct {
	index uint64
	state []byte
}

// applyLoop carries committed commands out in their order; an error ends the role.
func (l *Log) applyLoop(ctx context.Context) error {
	var barriers []work
	snapshotAt := uint64(0)
	for {
		var w work
		select {
		case <-ctx.Done():
			return nil
		case w = <-l.applies:
		}
		if w.restore != nil {
			snapshotAt = w.restore.Index
			if err := l.restoreState(*w.restore); err != nil {
				return err
			}
		}
		for i, e := range w.entries {
			l.applyEntry(e, w.waiting[i])
		}
		if len(w.readers) > 0 {
			barriers = append(barriers, w)
		}
		barriers = l.passBarriers(barriers)
		if l.snapshot == nil || l.Applied() < snapshotAt+uint64(l.config.SnapshotEntries) {
			continue
		}
		snapshotAt = l.Applied()
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
		p.result <- outcome{value: value}
	}
}

func (l *Log) passBarriers(barriers []work) []work {
	var waiting []work
	for _, b := range barriers {
		if l.Applied() < b.barrier {
			if b.readers = slices.DeleteFunc(b.readers, isDead); len(b.readers) > 0 {
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
	case l.taken <- taken{index: l.Applied(), state: state}:
	case <-ctx.Done():
	}
	return nil
}
