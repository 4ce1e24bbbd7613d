package quorum

import (
	"context"
	"errors"
	"time"

	"burdocksaddle/consensus"
	"burdocksaddle/storage"
)

// write is a batch or a snapshot to be written to disk.
type write struct {
	sequence uint64
	batch    storage.Batch
	snapshot *consensus.Snapshot
}

// writeLoop makes pending writes durable with one fsync per batch; an error stops the member.
func (l *Log) writeLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-l.writes:
			startTime := time.Now()
			l.writingSince.Store(&startTime)
			sequence, err := l.writeBatch(l.collectWrites(first))
			if err != nil {
				var failed storage.ErrFailed
				if errors.As(err, &failed) {
					l.observeFailure(failed)
				}
				return err
			}
			l.writingSince.Store(nil)
			l.diskBytes.Store(l.store.Bytes())
			l.observeWrite(time.Since(startTime))
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

func (l *Log) collectWrites(first write) []write {
	group := []write{first}
	for len(group) < l.maxWritesPerSync {
		select {
		case w := <-l.writes:
			group = append(group, w)
		default:
			return group
		}
	}
	return group
}

func (l *Log) writeBatch(group []write) (sequence uint64, err error) {
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
