package quorum

import (
	"slices"

	"burdocksaddle/consensus"
)

// enqueueReader queues a reader. One core read is in progress at a time; it answers all readers that were queued before
// it started.
func (s *stepper) enqueueReader(r *reader) {
	if len(s.queuedReaders)+len(s.activeReaders) >= maxPendingReaders {
		s.dropCancelledReaders()
	}
	if len(s.queuedReaders)+len(s.activeReaders) >= maxPendingReaders {
		return // the read ends when its context does
	}
	s.queuedReaders = append(s.queuedReaders, r)
	s.requestRead()
}

func (s *stepper) requestRead() {
	if len(s.activeReaders) > 0 || len(s.queuedReaders) == 0 {
		return
	}
	s.readToken++
	s.readRequestTick = s.ticks
	if s.core.Read(s.readToken) == nil {
		s.activeReaders, s.queuedReaders = s.queuedReaders, nil
	}
}

func (s *stepper) completeRead(read consensus.ReadState) {
	if read.Token != s.readToken || len(s.activeReaders) == 0 {
		return
	}
	if read.Failed {
		s.queuedReaders = append(s.activeReaders, s.queuedReaders...)
		s.activeReaders = nil
		return
	}
	s.pendingTasks = append(s.pendingTasks, applyTask{barrier: read.Index, readers: s.activeReaders})
	s.activeReaders = nil
	s.requestRead()
}

// retryReads retries the core read if it was not answered in time.
func (s *stepper) retryReads() {
	s.dropCancelledReaders()
	if s.ticks-s.readRequestTick >= readRetryTicks {
		s.queuedReaders = append(s.activeReaders, s.queuedReaders...)
		s.activeReaders = nil
	}
	s.requestRead()
}

func (s *stepper) dropCancelledReaders() {
	s.queuedReaders = slices.DeleteFunc(s.queuedReaders, isCancelled)
	s.activeReaders = slices.DeleteFunc(s.activeReaders, isCancelled)
}

// isCancelled reports whether the context of a reader has ended.
func isCancelled(r *reader) bool { return r.ctx.Err() != nil }
