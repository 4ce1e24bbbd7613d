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

func TestStarts(t *testing.T) {
	answer := &wirepb.Answer{Body: []byte("abc")}
	tests := []struct {
		name  string
		steps func(*starts)
		fresh bool
		state wirepb.Outcome_State
		kept  bool
	}{
		{"first", func(*starts) {}, true, running, false},
		{"again while it runs", func(s *starts) { s.begin(5) }, false, running, false},
		{"again after it ended", func(s *starts) { s.begin(5); s.end(5, done, answer, 0) }, false, done, true},
		{"again after it failed", func(s *starts) { s.begin(5); s.end(5, failed, nil, 0) }, false, failed, false},
		{"after a tombstone", func(s *starts) { s.forbid(5) }, false, tombstoned, false},
		{"tombstone on a running one", func(s *starts) { s.begin(5); s.forbid(5) }, false, running, false},
		{"answer past its time", func(s *starts) { s.begin(5); s.end(5, done, answer, -1000) }, false, done, false},
		{"answer beyond the size", func(s *starts) {
			s.begin(5)
			s.end(5, done, answer, 0)
			s.begin(6)
			s.end(6, done, &wirepb.Answer{Body: make([]byte, 8)}, 0)
		}, false, done, false},
		{"answer too large alone", func(s *starts) { s.begin(5); s.end(5, done, &wirepb.Answer{Body: make([]byte, 11)}, 0) }, false, done, false},
		{"below what was forgotten", func(s *starts) { s.floor = 5 }, false, unknown, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newStarts(10, 1000)
			test.steps(s)
			before, kept := s.look(5, 0)
			_, fresh := s.begin(5)
			state := before
			if fresh {
				state, kept = s.look(5, 0)
			}
			if diff := cmp.Diff([]any{test.fresh, test.state, test.kept}, []any{fresh, state, kept != nil}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestUnseenClaimIsToldSo(t *testing.T) {
	s := newStarts(10, 1000)
	if state, _ := s.look(5, 0); state != notSeen {
		t.Errorf("got %v", state)
	}
}

// TestForgottenClaimsNeverStart fills the table far beyond its bound: no claim
// is fresh twice, and none that ran is ever told to be forbidden or unseen.
func TestForgottenClaimsNeverStart(t *testing.T) {
	s := newStarts(10, 1000)
	for claim := uint64(1); claim <= 2*maxStarts; claim++ {
		s.begin(claim)
		s.end(claim, done, nil, 0)
	}
	if s.len() > maxStarts {
		t.Errorf("%d claims held", s.len())
	}
	for claim := uint64(1); claim <= 2*maxStarts; claim++ {
		state := s.forbid(claim)
		if _, fresh := s.begin(claim); fresh || state == tombstoned {
			t.Fatalf("claim %d: %v, fresh %v", claim, state, fresh)
		}
	}
}

// TestRandomStarts checks against a plain model that a claim begins at most once and a forbidden one never.
func TestRandomStarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStarts(100, 50)
		began, forbidden := map[uint64]bool{}, map[uint64]bool{}
		for now := range int64(100) {
			claim := rapid.Uint64Range(1, 20).Draw(t, "claim")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				if _, fresh := s.begin(claim); fresh {
					if began[claim] || forbidden[claim] {
						t.Fatalf("claim %d began again", claim)
					}
					began[claim] = true
				}
			case 1:
				if s.forbid(claim) == tombstoned {
					if began[claim] {
						t.Fatalf("claim %d was forbidden after it began", claim)
					}
					forbidden[claim] = true
				}
			case 2:
				s.end(claim, done, &wirepb.Answer{Body: make([]byte, rapid.IntRange(0, 60).Draw(t, "size"))}, now)
			}
			held := int64(0)
			for _, one := range s.byClaim {
				held += int64(len(one.answer.GetBody()))
			}
			if held != s.answerSize || held > s.maxAnswers {
				t.Fatalf("%d bytes held, counted %d", held, s.answerSize)
			}
		}
	})
}
