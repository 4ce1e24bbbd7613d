package quorum

import (
	"context"
	"time"

	"burdocksaddle/consensus"
	"burdocksaddle/storage"
)

// write is one piece of work for the disk.
type write struct {
	sequence uint64
	batch    storage.Batch
	snapshot *consensus.Snapshot
}

// writeLoop makes what waits durable with one fsync a group; an error ends the role.
func (l *Log) writeLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-l.writes:
			began := time.Now()
			sequence, err := l.writeGroup(l.drainWrites(first))
			if err != nil {
				return err
			}
			l.wrote(time.Since(began))
			if sequence == 0 {
				continue
			}
			select {
			case l.persisted <- sequence:
			case <-ctx.Done():
				return nil
			}
		}
	}
}

func (l *Log) drainWrites(first write) []write {
	group := []write{first}
	for len(group) < l.groupWrites {
		select {
		case w := <-l.writes:
			group = append(group, w)
		default:
			return group
		}
	}
	return group
}

func (l *Log) writeGroup(group []write) (sequence uint64, err error) {
	var batches []storage.Batch
	for _, w := range group {
		if w.snapshot == nil {
			batches, sequence = append(batches, w.batch), w.sequence
			continue
		}
		if err := l.store.Append(batches...); err != nil {
			return 0, err
		}
		if err := l.store.SaveSnapshot(*w.snapshot); err != nil {
			return 0, err
		}
		batches = nil
	}
	return sequence, l.store.Append(batches...)
}
