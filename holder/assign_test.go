package holder

import (
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func view(silent map[string]time.Duration, endpoints ...string) View {
	return View{Endpoints: endpoints, Silent: silent, Ready: map[string]uint64{}}
}

func endpoints(n int) []string {
	var all []string
	for i := range n {
		all = append(all, "e"+strconv.Itoa(i))
	}
	return all
}

func counts(t Table) map[string]int {
	held := map[string]int{}
	for _, a := range t.Holders {
		held[a.Steward]++
	}
	return held
}

// TestEndpointsAreSpread assigns a whole deployment: evenly, without a wait, and for good.
func TestEndpointsAreSpread(t *testing.T) {
	v := view(map[string]time.Duration{"a": 0, "b": 0, "c": 0}, endpoints(9)...)
	first, changed := Table{}.Next(v)
	if diff := cmp.Diff(map[string]int{"a": 3, "b": 3, "c": 3}, counts(first)); diff != "" || !changed {
		t.Error(diff)
	}
	for address, a := range first.Holders {
		if !a.Settled {
			t.Errorf("%s waits for nobody", address)
		}
	}
	if again, changed := first.Next(v); changed {
		t.Error(cmp.Diff(first, again))
	}
}

// TestLostStewardIsReplaced plays the load of a steward that falls silent: only its endpoints move, under new fences, and they
// are settled when their new holders say that they are ready; when it comes back it gets none of them back at once.
func TestLostStewardIsReplaced(t *testing.T) {
	table, _ := Table{}.Next(view(map[string]time.Duration{"a": 0, "b": 0, "c": 0}, endpoints(9)...))
	short := view(map[string]time.Duration{"a": silentMost, "b": 0, "c": 0}, endpoints(9)...)
	if _, changed := table.Next(short); changed {
		t.Error("moved before the silence was long enough")
	}
	short.Silent["a"]++
	moved, _ := table.Next(short)
	if diff := cmp.Diff(map[string]int{"b": 5, "c": 4}, counts(moved)); diff != "" {
		t.Error(diff)
	}
	ready := view(map[string]time.Duration{"a": 0, "b": 0, "c": 0}, endpoints(9)...)
	for address, a := range moved.Holders {
		before := table.Holders[address]
		if kept := a == before; kept != (before.Steward != "a") {
			t.Errorf("%s: %+v, before %+v", address, a, before)
		}
		if a.Steward != before.Steward && (a.Settled || a.Fence <= table.Fence) {
			t.Errorf("%s: %+v", address, a)
		}
		ready.Ready[address] = a.Fence
	}
	settled, changed := moved.Next(ready)
	if !changed || len(counts(settled)) != 2 {
		t.Errorf("changed %t, %v", changed, counts(settled))
	}
	for address, a := range settled.Holders {
		if !a.Settled {
			t.Errorf("%s is not settled", address)
		}
	}
}

// TestBalanceMovesOne evens the load out one endpoint at a time, as each is without orders for some seconds.
func TestBalanceMovesOne(t *testing.T) {
	table, _ := Table{}.Next(view(map[string]time.Duration{"a": 0, "b": 0}, endpoints(8)...))
	v := view(map[string]time.Duration{"a": 0, "b": 0, "c": 0}, endpoints(8)...)
	v.Balance = true
	for moves := 0; ; moves++ {
		next, changed := table.Next(v)
		if !changed {
			if moves != 2 {
				t.Errorf("%d moves, %v", moves, counts(table))
			}
			return
		}
		for address, a := range next.Holders {
			if a != table.Holders[address] && !table.Holders[address].Settled {
				t.Errorf("%s moved before it was settled", address)
			}
			v.Ready[address] = a.Fence
		}
		settled, _ := next.Next(View{Endpoints: v.Endpoints, Silent: v.Silent, Ready: v.Ready})
		table = settled
	}
}

// TestGoneEndpointIsForgotten drops who is long off the list; fencing numbers go on.
func TestGoneEndpointIsForgotten(t *testing.T) {
	v := view(map[string]time.Duration{"a": 0}, "e0", "e1")
	table, _ := Table{}.Next(v)
	v.Gone = []string{"e1"}
	if same, changed := table.Next(v); changed {
		t.Errorf("an endpoint that is listed lost its holder: %s", cmp.Diff(table, same))
	}
	v.Endpoints = []string{"e0"}
	before := table
	table, _ = table.Next(v)
	change := table.Change(before)
	if got, ok := before.With(change); !ok || cmp.Diff(table, got) != "" || len(change.GetHolders()) != 0 {
		t.Errorf("%v %t %s", change, ok, cmp.Diff(table, got))
	}
	if _, ok := table.With(change); ok {
		t.Error("a change was taken twice")
	}
	v.Endpoints, v.Gone = []string{"e0", "e1"}, nil
	table, _ = table.Next(v)
	if diff := cmp.Diff(Assignment{Steward: "a", Fence: 3, Settled: true}, table.Holders["e1"]); diff != "" {
		t.Error(diff)
	}
	if got, ok := (Table{}).With(table.ToWire()); !ok || cmp.Diff(table, got) != "" {
		t.Errorf("%t %s", ok, cmp.Diff(table, got))
	}
}
