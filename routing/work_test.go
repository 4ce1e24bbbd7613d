package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// unevenEndpoints returns two endpoints of the given speeds.
func unevenEndpoints(a, b float64) []Endpoint {
	all := endpoints("a", "b")
	all[0].Speed, all[1].Speed = a, b
	return all
}

// TestChooseByWork guards against choices that ignore what an endpoint has yet to prefill, its speed, or what it has cached.
func TestChooseByWork(t *testing.T) {
	long := Request{PromptTokens: 3000}
	tests := []struct {
		name   string
		all    []Endpoint
		before func(*Router, []Endpoint)
		q      Request
		want   string
	}{
		{"the faster one", unevenEndpoints(0.6, 1.6), nil, long, "b"},
		{"the slower one while the faster prefills", unevenEndpoints(1, 1.2), func(r *Router, all []Endpoint) { r.RecordWork(all[1], long, start) }, Request{PromptTokens: 300}, "a"},
		{"unknown speed counts as the mean", unevenEndpoints(0.6, 0), nil, long, "b"},
		{"cached part", unevenEndpoints(1, 1), func(r *Router, all []Endpoint) {
			r.RecordPrefilled(r.RecordWork(all[1], Request{PromptTokens: 900, Prefixes: []Prefix{{7, 800}}}, start.Add(-10*time.Second)))
		}, Request{PromptTokens: 1000, Prefixes: []Prefix{{7, 800}, {8, 900}}}, "b"},
		{"cached part does not outweigh prompts in prefill", unevenEndpoints(1, 1), func(r *Router, all []Endpoint) {
			r.RecordWork(all[1], Request{PromptTokens: 3000, Prefixes: []Prefix{{7, 200}}}, start)
		}, Request{PromptTokens: 700, Prefixes: []Prefix{{7, 200}}}, "a"},
		{"slow now", unevenEndpoints(1, 1.1), func(r *Router, _ []Endpoint) { r.RecordGap("b", 150*time.Millisecond, start) }, Request{PromptTokens: 600, MaxGap: 200 * time.Millisecond}, "a"},
		{"waiting requests of others", unevenEndpoints(1, 1.1), func(r *Router, _ []Endpoint) { r.RecordReport("b", Report{Running: 3, Waiting: 2}, start) }, Request{PromptTokens: 600}, "a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := New("here", first)
			_, _ = r.Choose(Request{}, test.all, start)
			if test.before != nil {
				test.before(r, test.all)
			}
			got, _ := r.Choose(test.q, test.all, start)
			if diff := cmp.Diff(test.want, got.Name); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestUnknownSpeedsChangeNothing guards against a different choice for endpoints without known speeds, whatever is known of a request.
func TestUnknownSpeedsChangeNothing(t *testing.T) {
	choose := func(enrich bool) (names []string) {
		random := rand.New(rand.NewPCG(1, 2))
		r := New("here", random.IntN)
		all := endpoints("a", "b", "c", "d", "e")
		for i := range 200 {
			q := Request{PromptPrefix: uint64(i % 7)}
			if enrich {
				q.PromptTokens, q.OutputTokens, q.MaxGap, q.MayWait = 100*i, i, 200*time.Millisecond, time.Second
				q.Prefixes = []Prefix{{uint64(i % 7), 300}}
			}
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			e, ok := r.Choose(q, all, now)
			if !ok {
				names = append(names, "")
				continue
			}
			r.RecordStart(e, q, now)
			if i%3 > 0 {
				r.RecordEnd(e.Name)
			}
			names = append(names, e.Name)
		}
		return names
	}
	if diff := cmp.Diff(choose(false), choose(true)); diff != "" {
		t.Error(diff)
	}
}

// TestWorkOfFormerIncarnation guards against tokens of a former run of an endpoint that are taken off those of the new one.
func TestWorkOfFormerIncarnation(t *testing.T) {
	r, all := New("here", first), unevenEndpoints(1, 1)
	former := r.RecordWork(all[0], Request{PromptTokens: 500}, start)
	all[0].Incarnation++
	r.RecordWork(all[0], Request{PromptTokens: 700}, start)
	r.RecordPrefilled(former)
	if got := r.PendingTokens("a"); got != 700 {
		t.Errorf("%v tokens are pending, want 700", got)
	}
}
