package agent

import (
	"burdocksaddle/wirepb"
)

const (
	// maxStarts bounds the claims that an agent remembers.
	maxStarts = 1 << 16
)

// start is one claimed request that this agent has given its endpoint, or refused for good.
type start struct {
	claim  uint64
	state  wirepb.Outcome_State
	answer *wirepb.Answer
	doneMS int64
	// changed closes once the outcome is known.
	changed chan struct{}
}

// starts is the aggregate of what this incarnation started: each claim starts at most once.
type starts struct {
	byClaim map[uint64]*start
	// order holds the claims as they came; answers those whose answers are kept.
	order   []uint64
	answers []uint64
	// floor is the highest claim that was forgotten; nothing is known of it and those below.
	floor      uint64
	answerSize int64
	maxAnswers int64
	keepMS     int64
}

func newStarts(maxAnswers, keepMS int64) *starts {
	return &starts{byClaim: map[uint64]*start{}, maxAnswers: maxAnswers, keepMS: keepMS}
}

// begin starts a claim; it returns nil, or what is known of the claim, which then must not start.
func (s *starts) begin(claim uint64) (known wirepb.Outcome_State, fresh bool) {
	if held, ok := s.byClaim[claim]; ok {
		return held.state, false
	}
	if claim <= s.floor {
		return wirepb.Outcome_STATE_UNKNOWN, false
	}
	s.add(claim, wirepb.Outcome_STATE_RUNNING)
	return wirepb.Outcome_STATE_RUNNING, true
}

// forbid sets a tombstone where a claim has not started and returns what holds.
func (s *starts) forbid(claim uint64) wirepb.Outcome_State {
	if known, fresh := s.begin(claim); !fresh {
		return known
	}
	s.byClaim[claim].state = wirepb.Outcome_STATE_TOMBSTONED
	close(s.byClaim[claim].changed)
	return wirepb.Outcome_STATE_TOMBSTONED
}

// look returns what is known of a claim; the answer is set only where it is kept.
func (s *starts) look(claim uint64, nowMS int64) (wirepb.Outcome_State, *wirepb.Answer) {
	s.expire(nowMS)
	held, ok := s.byClaim[claim]
	switch {
	case ok:
		return held.state, held.answer
	case claim <= s.floor:
		return wirepb.Outcome_STATE_UNKNOWN, nil
	default:
		return wirepb.Outcome_STATE_NOT_SEEN, nil
	}
}

// end records how a running claim ended.
func (s *starts) end(claim uint64, state wirepb.Outcome_State, answer *wirepb.Answer, nowMS int64) {
	held, ok := s.byClaim[claim]
	if !ok || held.state != wirepb.Outcome_STATE_RUNNING {
		return
	}
	held.state, held.doneMS = state, nowMS
	close(held.changed)
	if answer != nil && int64(len(answer.GetBody())) <= s.maxAnswers {
		held.answer = answer
		s.answers = append(s.answers, claim)
		s.answerSize += int64(len(answer.GetBody()))
	}
	s.expire(nowMS)
}

// expire drops answers past their time or beyond the size, the oldest first; that they ran is remembered.
func (s *starts) expire(nowMS int64) {
	for len(s.answers) > 0 {
		held, ok := s.byClaim[s.answers[0]]
		if ok && s.answerSize <= s.maxAnswers && held.doneMS+s.keepMS > nowMS {
			return
		}
		s.answers = s.answers[1:]
		if ok {
			s.answerSize -= int64(len(held.answer.GetBody()))
			held.answer = nil
		}
	}
}

func (s *starts) add(claim uint64, state wirepb.Outcome_State) {
	s.byClaim[claim] = &start{claim: claim, state: state, changed: make(chan struct{})}
	s.order = append(s.order, claim)
	for len(s.order) > maxStarts && s.forget(s.order[0]) {
		s.order = s.order[1:]
	}
}

// forget drops one claim; a running one is kept.
func (s *starts) forget(claim uint64) bool {
	held := s.byClaim[claim]
	if held.state == wirepb.Outcome_STATE_RUNNING {
		return false
	}
	if held.answer != nil {
		s.answerSize -= int64(len(held.answer.GetBody()))
		held.answer = nil
	}
	s.floor = max(s.floor, claim)
	delete(s.byClaim, claim)
	return true
}

func (s *starts) len() int { return len(s.byClaim) }
