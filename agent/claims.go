package agent

import (
	"burdocksaddle/wirepb"
)

const (
	// maxClaims bounds the number of claims kept in memory.
	maxClaims = 1 << 16
)

// claimRecord is the state of a claim that was started on the endpoint or tombstoned.
type claimRecord struct {
	claim      uint64
	state      wirepb.Outcome_State
	answer     *wirepb.Answer
	finishedMS int64
	// finished is closed once the outcome is known.
	finished chan struct{}
}

// claimTable tracks the claims of this incarnation and ensures that each one starts at most once.
type claimTable struct {
	byClaim map[uint64]*claimRecord
	// order lists all claims in order of arrival, withAnswer those with a retained response in order of completion.
	order      []uint64
	withAnswer []uint64
	// droppedUpTo is the highest claim that was dropped. Unrecorded claims up to it have an unknown outcome.
	droppedUpTo    uint64
	answerBytes    int64
	maxAnswerBytes int64
	answerTTLMS    int64
}

func newClaimTable(maxAnswerBytes, answerTTLMS int64) *claimTable {
	return &claimTable{byClaim: map[uint64]*claimRecord{}, maxAnswerBytes: maxAnswerBytes, answerTTLMS: answerTTLMS}
}

// begin starts a claim. If the claim is already known or was dropped, it returns the known state and isNew is false; the
// claim must not be started then.
func (table *claimTable) begin(claim uint64) (claimState wirepb.Outcome_State, isNew bool) {
	if record, ok := table.byClaim[claim]; ok {
		return record.state, false
	}
	if claim <= table.droppedUpTo {
		return wirepb.Outcome_STATE_UNKNOWN, false
	}
	table.add(claim, wirepb.Outcome_STATE_RUNNING)
	return wirepb.Outcome_STATE_RUNNING, true
}

// tombstone prevents a claim from starting and returns the resulting state. A claim that has already started is unchanged.
func (table *claimTable) tombstone(claim uint64) wirepb.Outcome_State {
	if claimState, isNew := table.begin(claim); !isNew {
		return claimState
	}
	table.byClaim[claim].state = wirepb.Outcome_STATE_TOMBSTONED
	close(table.byClaim[claim].finished)
	return wirepb.Outcome_STATE_TOMBSTONED
}

// lookup returns the state of a claim and its response if that is still retained.
func (table *claimTable) lookup(claim uint64, nowMS int64) (wirepb.Outcome_State, *wirepb.Answer) {
	table.expireAnswers(nowMS)
	record, ok := table.byClaim[claim]
	switch {
	case ok:
		return record.state, record.answer
	case claim <= table.droppedUpTo:
		return wirepb.Outcome_STATE_UNKNOWN, nil
	default:
		return wirepb.Outcome_STATE_NOT_SEEN, nil
	}
}

// finish records the outcome of a running claim.
func (table *claimTable) finish(claim uint64, state wirepb.Outcome_State, answer *wirepb.Answer, nowMS int64) {
	record, ok := table.byClaim[claim]
	if !ok || record.state != wirepb.Outcome_STATE_RUNNING {
		return
	}
	record.state, record.finishedMS = state, nowMS
	close(record.finished)
	if answer != nil && int64(len(answer.GetBody())) <= table.maxAnswerBytes {
		record.answer = answer
		table.withAnswer = append(table.withAnswer, claim)
		table.answerBytes += int64(len(answer.GetBody()))
	}
	table.expireAnswers(nowMS)
}

// expireAnswers drops retained responses that are past their TTL or exceed the size limit, oldest first. The claim's state is kept.
func (table *claimTable) expireAnswers(nowMS int64) {
	for len(table.withAnswer) > 0 {
		record, ok := table.byClaim[table.withAnswer[0]]
		if ok && table.answerBytes <= table.maxAnswerBytes && record.finishedMS+table.answerTTLMS > nowMS {
			return
		}
		table.withAnswer = table.withAnswer[1:]
		if ok {
			table.answerBytes -= int64(len(record.answer.GetBody()))
			record.answer = nil
		}
	}
}

func (table *claimTable) add(claim uint64, state wirepb.Outcome_State) {
	table.byClaim[claim] = &claimRecord{claim: claim, state: state, finished: make(chan struct{})}
	table.order = append(table.order, claim)
	for len(table.order) > maxClaims && table.drop(table.order[0]) {
		table.order = table.order[1:]
	}
}

// drop removes a claim unless it is still running, and reports whether it did.
func (table *claimTable) drop(claim uint64) bool {
	record := table.byClaim[claim]
	if record.state == wirepb.Outcome_STATE_RUNNING {
		return false
	}
	if record.answer != nil {
		table.answerBytes -= int64(len(record.answer.GetBody()))
		record.answer = nil
	}
	table.droppedUpTo = max(table.droppedUpTo, claim)
	delete(table.byClaim, claim)
	return true
}

func (table *claimTable) len() int { return len(table.byClaim) }
