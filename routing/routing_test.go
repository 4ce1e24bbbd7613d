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
		{"least loaded", nil, func(r *Router, all []Endpoint) { r.Begin(all[0], Request{}, start) }, Request{}, "b"},
		{"reported load of others", nil, func(r *Router, _ []Endpoint) { r.Report("a", Report{Running: 3}, start) }, Request{}, "b"},
		{"an old report counts little", nil, func(r *Router, all []Endpoint) {
			r.Report("a", Report{Running: 3, Age: 20 * time.Second}, start)
			r.Begin(all[1], Request{}, start)
		}, Request{}, "a"},
		{"nearer", func(all []Endpoint) { all[0].DataCentre = "there" }, nil, Request{}, "b"},
		{"warm before warming", func(all []Endpoint) { all[0].Warming = true }, nil, Request{}, "b"},
		{"leaving", func(all []Endpoint) { all[0].Out = true }, nil, Request{}, "b"},
		{"failed of late", nil, func(r *Router, _ []Endpoint) { r.Fail("a", start) }, Request{}, "b"},
		{"told that it leaves", nil, func(r *Router, _ []Endpoint) { r.Leave("a", start) }, Request{}, "b"},
		{"busy", nil, func(r *Router, _ []Endpoint) { r.Busy("a", start) }, Request{}, "b"},
		{"failed this request", nil, nil, Request{Avoid: []string{"a"}}, "b"},
		{"only one left, though it failed this request", func(all []Endpoint) { all[1].Out = true }, nil, Request{Avoid: []string{"a"}}, "a"},
		{"prefix at hand", nil, func(r *Router, all []Endpoint) {
			r.Report("b", Report{Events: []CacheEvent{{Sequence: 3, Prefix: 9}}}, start)
			r.Begin(all[1], Request{}, start)
		}, Request{Prefix: 9}, "b"},
		{"prefix dropped", nil, func(r *Router, all []Endpoint) {
			r.Report("b", Report{Events: []CacheEvent{{Sequence: 3, Prefix: 9}, {Sequence: 8, Prefix: 9, Dropped: true}}}, start)
			r.Begin(all[1], Request{}, start)
		}, Request{Prefix: 9}, "a"},
		{"a late event changes nothing", nil, func(r *Router, all []Endpoint) {
			r.Report("b", Report{Events: []CacheEvent{{Sequence: 8, Prefix: 9, Dropped: true}, {Sequence: 3, Prefix: 9}}}, start)
			r.Begin(all[1], Request{}, start)
		}, Request{Prefix: 9}, "a"},
		{"a prefix is not worth a full endpoint", nil, func(r *Router, all []Endpoint) {
			r.Report("b", Report{Running: 4, Events: []CacheEvent{{Sequence: 3, Prefix: 9}}}, start)
		}, Request{Prefix: 9}, "a"},
		{"adapter at hand", nil, func(r *Router, all []Endpoint) {
			r.Begin(all[1], Request{Adapter: "x"}, start)
			r.End("b")
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

func TestFailedEndpointComesBack(t *testing.T) {
	r, all := New("here", first), endpoints("a")
	_, _ = r.Choose(Request{}, all, start)
	for range 20 {
		r.Fail("a", start)
	}
	if _, ok := r.Choose(Request{}, all, start.Add(outMost-time.Millisecond)); ok {
		t.Error("chosen while it is left out")
	}
	if _, ok := r.Choose(Request{}, all, start.Add(outMost)); !ok {
		t.Error("left out for longer than the bound")
	}
}

func TestFullEndpointsAreNotChosen(t *testing.T) {
	r, all := New("here", first), endpoints("a", "b")
	for i := range 8 {
		e, ok := r.Choose(Request{}, all, start)
		if !ok {
			t.Fatalf("none free after %d of 8", i)
		}
		r.Begin(e, Request{}, start)
	}
	if _, ok := r.Choose(Request{}, all, start); ok {
		t.Error("a full endpoint was chosen")
	}
}

func TestNewIncarnationHasNoHistory(t *testing.T) {
	r, all := New("here", first), endpoints("a")
	_, _ = r.Choose(Request{}, all, start)
	r.Leave("a", start)
	all[0].Incarnation = 2
	if _, ok := r.Choose(Request{}, all, start); !ok {
		t.Error("a new incarnation is left out for what the old one did")
	}
}

// TestSubsets checks at the letter's size that entries use few endpoints each and together all of them evenly.
func TestSubsets(t *testing.T) {
	all := make([]Endpoint, 2000)
	for i := range all {
		all[i] = Endpoint{Name: fmt.Sprint("endpoint-", i)}
	}
	users := map[string]int{}
	for i := range 390 {
		chosen := Subset(fmt.Sprint("entry-", i), all)
		if len(chosen) != subsetSize {
			t.Fatalf("%d chosen", len(chosen))
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
		t.Errorf("%d of %d used, most by %d, mean %d", len(users), len(all), most, mean)
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
		r.Begin(e, Request{}, start)
	}
	for _, e := range all {
		if own := r.endpoints[e.Name].own; own < 14 || own > 26 {
			t.Errorf("%s has %d, mean 20", e.Name, own)
		}
	}
}

func TestBudget(t *testing.T) {
	b := NewBudget(0.1)
	granted := 0
	for range 1000 {
		b.Request()
		if b.Retry() {
			granted++
		}
	}
	if granted < 100 || granted > 111 {
		t.Errorf("%d retries of 1000 requests at a ratio of 0.1", granted)
	}
	if NewBudget(0).Retry() {
		t.Error("a ratio of 0 allows a retry")
	}
}
