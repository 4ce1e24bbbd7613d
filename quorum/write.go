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

const (
	// diskRetryInterval is the pause between two attempts to write to a disk that refuses writes.
	diskRetryInterval = 100 * time.Millisecond
	// attemptsPerLogLine is the number of refused attempts for each log line.
	attemptsPerLogLine = 100
)

// writeLoop makes pending writes durable with one fsync per batch. While the disk refuses a write it is repeated, and everything that
// depends on it waits.
func (l *Log) writeLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-l.writes:
			startTime := time.Now()
			l.writingSince.Store(&startTime)
			sequence, err := l.writeGroup(ctx, l.collectWrites(first))
			if ctx.Err() != nil {
				return nil
			}
			if err != nil {
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

// writeGroup makes a group of writes durable and returns the last sequence among them. Its errors are those of writeUntilDurable.
func (l *Log) writeGroup(ctx context.Context, group []write) (sequence uint64, err error) {
	for len(group) > 0 {
		part := repeatablePart(group)
		if err := l.writeUntilDurable(ctx, part); err != nil {
			return 0, err
		}
		sequence = max(sequence, part[len(part)-1].sequence)
		group = group[len(part):]
	}
	return sequence, nil
}

// repeatablePart returns the first writes of a group that the storage makes durable at once, so that they can be repeated together.
func repeatablePart(group []write) []write {
	if group[0].snapshot != nil {
		return group[:1]
	}
	for i, w := range group[1:] {
		if w.snapshot != nil || w.batch.Install != nil {
			return group[:i+1]
		}
	}
	return group
}

// writeUntilDurable repeats a write for as long as the disk refuses it; it fails with the last error if the context ends before, or if
// the data directory is gone.
func (l *Log) writeUntilDurable(ctx context.Context, part []write) error {
	err := l.write(part)
	if err == nil {
		return nil
	}
	since := time.Now()
	for attempts := 1; ; attempts++ {
		var failed storage.ErrFailed
		if !errors.As(err, &failed) {
			return err
		}
		l.observeFailure(failed)
		if attempts%attemptsPerLogLine == 1 {
			l.log.Error(err, "the disk refuses writes; the log waits", "member", l.id, "ms", time.Since(since).Milliseconds())
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(diskRetryInterval):
		}
		if err = l.store.Recover(); err == nil {
			err = l.write(part)
		}
		if err == nil {
			l.log.Info("the disk takes writes again", "member", l.id, "ms", time.Since(since).Milliseconds(), "attempts", attempts)
			return nil
		}
	}
}

func (l *Log) write(part []write) error {
	if part[0].snapshot != nil {
		return l.store.SaveSnapshot(*part[0].snapshot)
	}
	batches := make([]storage.Batch, len(part))
	for i, w := range part {
		batches[i] = w.batch
	}
	return l.store.Append(batches...)
}
