package ledger

import (
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

func claim(request string, attempt uint32) Claim {
	return Claim{Caller: "c", Service: "s", Key: "k", RequestID: request, Attempt: attempt, Endpoint: "e", Incarnation: 7, BodyHash: 1}
}

func TestOpen(t *testing.T) {
	tests := []struct {
		name     string
		closed   Outcome
		next     Claim
		fresh    bool
		newClaim bool
	}{
		{"the same request whose reply was lost", Open, claim("a", 1), true, false},
		{"a resend under another id", Open, claim("b", 1), false, false},
		{"a resend after it ran", Ran, claim("b", 1), false, false},
		{"a resend after an unknown outcome", Unknown, claim("b", 1), false, false},
		{"a late copy after it ran", Ran, claim("a", 1), false, false},
		{"a late copy after it was not run", NotRun, claim("a", 1), false, false},
		{"the next attempt after it was not run", NotRun, claim("a", 2), true, true},
		{"a resend after it was not run", NotRun, claim("b", 1), true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := New()
			first, fresh, err := l.Open(claim("a", 1), 1, 10)
			if !fresh || err != nil {
				t.Fatalf("first: %v %v", fresh, err)
			}
			if test.closed != Open {
				if _, _, err := l.Close(first.ID, test.closed, nil, false, 11); err != nil {
					t.Fatal(err)
				}
			}
			got, fresh, err := l.Open(test.next, 2, 12)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff([]bool{test.fresh, test.newClaim}, []bool{fresh, got.ID == 2}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestOpenRefusesOtherBody(t *testing.T) {
	l := New()
	_, _, _ = l.Open(claim("a", 1), 1, 0)
	other := claim("b", 1)
	other.BodyHash = 2
	if _, _, err := l.Open(other, 2, 0); !IsErrKeyReused(err) {
		t.Errorf("got %v", err)
	}
}

func TestCloseRefusesContradiction(t *testing.T) {
	for _, pair := range [][2]Outcome{{Ran, NotRun}, {NotRun, Ran}} {
		l := New()
		_, _, _ = l.Open(claim("a", 1), 1, 0)
		_, _, _ = l.Close(1, pair[0], nil, false, 0)
		if _, _, err := l.Close(1, pair[1], nil, false, 0); !IsErrOutcomeConflict(err) {
			t.Errorf("%v: got %v", pair, err)
		}
	}
}

func TestLargeAnswerStaysOnAgent(t *testing.T) {
	l := New()
	_, _, _ = l.Open(claim("a", 1), 1, 0)
	got, _, err := l.Close(1, Ran, &Answer{Body: make([]byte, MaxAnswerBytes+1)}, false, 0)
	if err != nil || got.Answer != nil || !got.OnAgent {
		t.Errorf("got %v %v", got, err)
	}
}

func TestAnswersAreBounded(t *testing.T) {
	l := New()
	for id := uint64(1); id <= MaxAnswersBytes/MaxAnswerBytes+3; id++ {
		c := claim("a", 1)
		c.Key = strconv.FormatUint(id, 10)
		_, _, _ = l.Open(c, id, 0)
		if _, _, err := l.Close(id, Ran, &Answer{Body: make([]byte, MaxAnswerBytes)}, false, 0); err != nil {
			t.Fatal(err)
		}
	}
	dropped := 0
	for _, c := range l.Export().Claims {
		if c.Answer == nil {
			dropped++
		}
	}
	if diff := cmp.Diff([]any{3, Ran, Ran}, []any{dropped, l.byID[1].Outcome, Import(l.Export()).byID[1].Outcome}); diff != "" {
		t.Error(diff)
	}
}

func TestRetention(t *testing.T) {
	l := New()
	_, _, _ = l.Open(claim("a", 1), 1, 1_000)
	_, _, _ = l.Close(1, Ran, nil, false, 5_000)
	kept := Retention.Milliseconds()
	// A new leader's clock may be behind; the ledger's time does not go back.
	if _, err := l.Peek(claim("b", 1), 0); err != nil {
		t.Fatal(err)
	}
	if got, _ := l.Peek(claim("b", 1), 5_000+kept-1); got.ID != 1 {
		t.Errorf("removed too early: %v", got)
	}
	if got, _ := l.Peek(claim("b", 1), 5_000+kept); got.ID != 0 || l.Len() != 0 {
		t.Errorf("kept too long: %v", got)
	}
}

// TestRandomHistories checks that a claim is fresh for one attempt only, that a final outcome never changes and that a
// restored snapshot equals the original.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		owner := map[uint64]string{}
		for id := uint64(1); id < 60; id++ {
			request := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "request")
			if rapid.Bool().Draw(t, "close") {
				outcome := rapid.SampledFrom([]Outcome{NotRun, Ran, Unknown}).Draw(t, "outcome")
				before := l.byID[id/2]
				after, ok, err := l.Close(id/2, outcome, nil, false, int64(id))
				if ok && err == nil && (before.Outcome == Ran || before.Outcome == NotRun) && after.Outcome != before.Outcome {
					t.Fatalf("outcome changed from %s to %s", before.Outcome, after.Outcome)
				}
			}
			c := claim(request, uint32(rapid.IntRange(1, 3).Draw(t, "attempt")))
			got, fresh, err := l.Open(c, id, int64(id))
			if err != nil {
				t.Fatal(err)
			}
			name := c.RequestID + string(rune('0'+c.Attempt))
			if held, ok := owner[got.ID]; fresh && ok && held != name {
				t.Fatalf("claim %d is fresh for %s and %s", got.ID, held, name)
			} else if fresh {
				owner[got.ID] = name
			}
			if diff := cmp.Diff(l.Export(), Import(l.Export()).Export(), cmpopts.EquateEmpty()); diff != "" {
				t.Fatal(diff)
			}
		}
	})
}
