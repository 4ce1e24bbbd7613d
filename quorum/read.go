package quorum

import (
	"slices"

	"burdocksaddle/consensus"
)

// read takes a reader in; one question is under way at a time and answers all that came before it.
func (s *stepper) read(r *reader) {
	if len(s.readers)+len(s.asked) >= maxReaders {
		s.dropDeadReaders()
	}
	if len(s.readers)+len(s.asked) >= maxReaders {
		return // its caller's deadline ends it
	}
	s.readers = append(s.readers, r)
	s.askRead()
}

func (s *stepper) askRead() {
	if len(s.asked) > 0 || len(s.readers) == 0 {
		return
	}
	s.token++
	s.askedTick = s.ticks
	if s.core.Read(s.token) == nil {
		s.asked, s.readers = s.readers, nil
	}
}

func (s *stepper) answer(read consensus.ReadState) {
	if read.Token != s.token || len(s.asked) == 0 {
		return
	}
	if read.Failed {
		s.readers = append(s.asked, s.readers...)
		s.asked = nil
		return
	}
	s.applying = append(s.applying, work{barrier: read.Index, readers: s.asked})
	s.asked = nil
	s.askRead()
}

// retryReads asks again for what was not answered in time.
func (s *stepper) retryReads() {
	s.dropDeadReaders()
	if s.ticks-s.askedTick >= readRetryTicks {
		s.readers = append(s.asked, s.readers...)
		s.asked = nil
	}
	s.askRead()
}

func (s *stepper) dropDeadReaders() {
	s.readers = slices.DeleteFunc(s.readers, isDead)
	s.asked = slices.DeleteFunc(s.asked, isDead)
}

// isDead tells whether a reader's caller has gone.
func isDead(r *reader) bool { return r.ctx.Err() != nil }
