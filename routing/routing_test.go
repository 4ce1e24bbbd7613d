package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var start = time.Unix(1000, 0)

func endpoints(names ...string) []Endpoint {
	var all []Endpoint
	for _, name := range names {
		all = append(all, Endpoint{Name: name, DataCentre: "here", Slots: 4, Incarnation: 1})
	}
	return all
}

func first(int) int { return 0 }

func TestChoose(t *testing.T) {
	tests := []struct {
		name   string
		all    func([]Endpoint)
		before func(*Router, []Endpoint)
		q      Request
		want   string
	}{
		{"least loaded", nil, func(r *Router, all []Endpoint) { r.RecordStart(all[0], Request{}, start) }, Request{}, "b"},
		{"reported load of others", nil, func(r *Router, _ []Endpoint) { r.RecordReport("a", Report{Running: 3}, start) }, Request{}, "b"},
		{"an old report counts little", nil, func(r *Router, all []Endpoint) {
			r.RecordReport("a", Report{Running: 3, Age: 20 * time.Second}, start)
			r.RecordStart(all[1], Request{}, start)
		}, Request{}, "a"},
		{"same data centre", func(all []Endpoint) { all[0].DataCentre = "there" }, nil, Request{}, "b"},
		{"warm before warming", func(all []Endpoint) { all[0].Warming = true }, nil, Request{}, "b"},
		{"draining", func(all []Endpoint) { all[0].Unavailable = true }, nil, Request{}, "b"},
		{"recently failed", nil, func(r *Router, _ []Endpoint) { r.RecordFailure("a", start) }, Request{}, "b"},
		{"reported to be draining", nil, func(r *Router, _ []Endpoint) { r.RecordDraining("a", start) }, Request{}, "b"},
		{"busy", nil, func(r *Router, _ []Endpoint) { r.RecordBusy("a", start) }, Request{}, "b"},
		{"failed this request", nil, nil, Request{Avoid: []string{"a"}}, "b"},
		{"only one left, though it failed this request", func(all []Endpoint) { all[1].Unavailable = true }, nil, Request{Avoid: []string{"a"}}, "a"},
		{"prefix cached", nil, func(r *Router, all []Endpoint) {
			r.RecordReport("b", Report{Events: []CacheEvent{{Sequence: 3, Prefix: 9}}}, start)
			r.RecordStart(all[1], Request{}, start)
		}, Request{PromptPrefix: 9}, "b"},
		{"prefix dropped", nil, func(r *Router, all []Endpoint) {
			r.RecordReport("b", Report{Events: []CacheEvent{{Sequence: 3, Prefix: 9}, {Sequence: 8, Prefix: 9, Dropped: true}}}, start)
			r.RecordStart(all[1], Request{}, start)
		}, Request{PromptPrefix: 9}, "a"},
		{"an out-of-order event is ignored", nil, func(r *Router, all []Endpoint) {
			r.RecordReport("b", Report{Events: []CacheEvent{{Sequence: 8, Prefix: 9, Dropped: true}, {Sequence: 3, Prefix: 9}}}, start)
			r.RecordStart(all[1], Request{}, start)
		}, Request{PromptPrefix: 9}, "a"},
		{"a cached prefix does not outweigh a full endpoint", nil, func(r *Router, all []Endpoint) {
			r.RecordReport("b", Report{Running: 4, Events: []CacheEvent{{Sequence: 3, Prefix: 9}}}, start)
		}, Request{PromptPrefix: 9}, "a"},
		{"adapter cached", nil, func(r *Router, all []Endpoint) {
			r.RecordStart(all[1], Request{Adapter: "x"}, start)
			r.RecordEnd("b")
		}, Request{Adapter: "x"}, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r, all := New("here", first), endpoints("a", "b")
			if test.all != nil {
				test.all(all)
			}
			_, _ = r.Choose(Request{}, all, start)
			if test.before != nil {
				test.before(r, all)
			}
			got, _ := r.Choose(test.q, all, start)
			if diff := cmp.Diff(test.want, got.Name); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestEjectionIsBounded(t *testing.T) {
	r, all := New("here", first), endpoints("a")
	_, _ = r.Choose(Request{}, all, start)
	for range 20 {
		r.RecordFailure("a", start)
	}
	if _, ok := r.Choose(Request{}, all, start.Add(maxEjection-time.Millisecond)); ok {
		t.Error("ejected endpoint was selected")
	}
	if _, ok := r.Choose(Request{}, all, start.Add(maxEjection)); !ok {
		t.Error("endpoint is ejected for longer than maxEjection")
	}
}

func TestFullEndpointsAreNotChosen(t *testing.T) {
	r, all := New("here", first), endpoints("a", "b")
	for i := range 8 {
		e, ok := r.Choose(Request{}, all, start)
		if !ok {
			t.Fatalf("no endpoint available after %d of 8 requests", i)
		}
		r.RecordStart(e, Request{}, start)
	}
	if _, ok := r.Choose(Request{}, all, start); ok {
		t.Error("a full endpoint was selected")
	}
}

func TestNewIncarnationHasNoHistory(t *testing.T) {
	r, all := New("here", first), endpoints("a")
	_, _ = r.Choose(Request{}, all, start)
	r.RecordDraining("a", start)
	all[0].Incarnation = 2
	if _, ok := r.Choose(Request{}, all, start); !ok {
		t.Error("new incarnation inherits the ejection of the previous one")
	}
}

// TestSubsets checks at the required fleet size that each entry uses few endpoints and that all entries together use
// all of them evenly.
func TestSubsets(t *testing.T) {
	all := make([]Endpoint, 2000)
	for i := range all {
		all[i] = Endpoint{Name: fmt.Sprint("endpoint-", i)}
	}
	users := map[string]int{}
	for i := range 390 {
		chosen := Subset(fmt.Sprint("entry-", i), all)
		if len(chosen) != subsetSize {
			t.Fatalf("subset has %d endpoints", len(chosen))
		}
		for _, e := range chosen {
			users[e.Name]++
		}
	}
	most := 0
	for _, n := range users {
		most = max(most, n)
	}
	mean := 390 * subsetSize / len(all)
	if len(users) < len(all)-5 || most > 4*mean {
		t.Errorf("%d of %d endpoints used, at most by %d entries, mean %d", len(users), len(all), most, mean)
	}
}

func TestTwoChoicesSpreadLoad(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	r := New("here", random.IntN)
	all := make([]Endpoint, 50)
	for i := range all {
		all[i] = Endpoint{Name: fmt.Sprint(i), DataCentre: "here", Slots: 100}
	}
	for range 1000 {
		e, _ := r.Choose(Request{}, all, start)
		r.RecordStart(e, Request{}, start)
	}
	for _, e := range all {
		if own := r.endpoints[e.Name].inFlight; own < 14 || own > 26 {
			t.Errorf("endpoint %s has %d requests, mean 20", e.Name, own)
		}
	}
}

func TestBudget(t *testing.T) {
	b := NewBudget(0.1)
	granted := 0
	for range 1000 {
		b.AddRequest()
		if b.TakeRetry() {
			granted++
		}
	}
	if granted < 100 || granted > 111 {
		t.Errorf("%d retries for 1000 requests at a ratio of 0.1", granted)
	}
	if NewBudget(0).TakeRetry() {
		t.Error("a ratio of 0 allows a retry")
	}
}
