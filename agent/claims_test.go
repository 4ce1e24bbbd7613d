package agent

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"burdocksaddle/wirepb"
)

const (
	running    = wirepb.Outcome_STATE_RUNNING
	done       = wirepb.Outcome_STATE_DONE
	failed     = wirepb.Outcome_STATE_FAILED
	tombstoned = wirepb.Outcome_STATE_TOMBSTONED
	notSeen    = wirepb.Outcome_STATE_NOT_SEEN
	unknown    = wirepb.Outcome_STATE_UNKNOWN
)

func TestClaims(t *testing.T) {
	answer := &wirepb.Answer{Body: []byte("abc")}
	tests := []struct {
		name       string
		steps      func(*claimTable)
		wantNew    bool
		wantState  wirepb.Outcome_State
		wantAnswer bool
	}{
		{"first start", func(*claimTable) {}, true, running, false},
		{"duplicate while running", func(table *claimTable) { table.begin(5) }, false, running, false},
		{"duplicate after completion", func(table *claimTable) { table.begin(5); table.finish(5, done, answer, 0) }, false, done, true},
		{"duplicate after failure", func(table *claimTable) { table.begin(5); table.finish(5, failed, nil, 0) }, false, failed, false},
		{"after a tombstone", func(table *claimTable) { table.tombstone(5) }, false, tombstoned, false},
		{"tombstone while running", func(table *claimTable) { table.begin(5); table.tombstone(5) }, false, running, false},
		{"answer past its TTL", func(table *claimTable) { table.begin(5); table.finish(5, done, answer, -1000) }, false, done, false},
		{"answers beyond the total size limit", func(table *claimTable) {
			table.begin(5)
			table.finish(5, done, answer, 0)
			table.begin(6)
			table.finish(6, done, &wirepb.Answer{Body: make([]byte, 8)}, 0)
		}, false, done, false},
		{"single answer beyond the size limit", func(table *claimTable) {
			table.begin(5)
			table.finish(5, done, &wirepb.Answer{Body: make([]byte, 11)}, 0)
		}, false, done, false},
		{"claim already dropped", func(table *claimTable) { table.droppedUpTo = 5 }, false, unknown, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newClaimTable(10, 1000)
			test.steps(table)
			before, retained := table.lookup(5, 0)
			_, isNew := table.begin(5)
			state := before
			if isNew {
				state, retained = table.lookup(5, 0)
			}
			if diff := cmp.Diff([]any{test.wantNew, test.wantState, test.wantAnswer}, []any{isNew, state, retained != nil}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestUnseenClaimIsNotSeen(t *testing.T) {
	table := newClaimTable(10, 1000)
	if state, _ := table.lookup(5, 0); state != notSeen {
		t.Errorf("state is %v, want STATE_NOT_SEEN", state)
	}
}

// TestDroppedClaimsNeverStart adds twice as many claims as the table holds. No claim may start a second time, and none
// that has run may be tombstoned afterwards.
func TestDroppedClaimsNeverStart(t *testing.T) {
	table := newClaimTable(10, 1000)
	for claim := uint64(1); claim <= 2*maxClaims; claim++ {
		table.begin(claim)
		table.finish(claim, done, nil, 0)
	}
	if table.len() > maxClaims {
		t.Errorf("%d claims kept, more than maxClaims", table.len())
	}
	for claim := uint64(1); claim <= 2*maxClaims; claim++ {
		state := table.tombstone(claim)
		if _, isNew := table.begin(claim); isNew || state == tombstoned {
			t.Fatalf("claim %d: state %v, isNew %v", claim, state, isNew)
		}
	}
}

// TestRandomClaims checks random operations against a simple model: a claim starts at most once, and never after it was tombstoned.
func TestRandomClaims(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newClaimTable(100, 50)
		started, wasTombstoned := map[uint64]bool{}, map[uint64]bool{}
		for now := range int64(100) {
			claim := rapid.Uint64Range(1, 20).Draw(t, "claim")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				if _, isNew := table.begin(claim); isNew {
					if started[claim] || wasTombstoned[claim] {
						t.Fatalf("claim %d started again", claim)
					}
					started[claim] = true
				}
			case 1:
				if table.tombstone(claim) == tombstoned {
					if started[claim] {
						t.Fatalf("claim %d was tombstoned after it started", claim)
					}
					wasTombstoned[claim] = true
				}
			case 2:
				table.finish(claim, done, &wirepb.Answer{Body: make([]byte, rapid.IntRange(0, 60).Draw(t, "size"))}, now)
			}
			totalBytes := int64(0)
			for _, record := range table.byClaim {
				totalBytes += int64(len(record.answer.GetBody()))
			}
			if totalBytes != table.answerBytes || totalBytes > table.maxAnswerBytes {
				t.Fatalf("answers have %d bytes, answerBytes is %d", totalBytes, table.answerBytes)
			}
		}
	})
}
