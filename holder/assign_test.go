package holder

import (
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func view(silent map[string]time.Duration, endpoints ...string) View {
	return View{Endpoints: endpoints, SilentFor: silent, ReadyFences: map[string]uint64{}}
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

// TestEndpointsAreSpread checks that the first assignment of a deployment is even, needs no wait for a former holder and is stable.
func TestEndpointsAreSpread(t *testing.T) {
	v := view(map[string]time.Duration{"a": 0, "b": 0, "c": 0}, endpoints(9)...)
	first, changed := Table{}.Next(v)
	if diff := cmp.Diff(map[string]int{"a": 3, "b": 3, "c": 3}, counts(first)); diff != "" || !changed {
		t.Error(diff)
	}
	for address, a := range first.Holders {
		if !a.Settled {
			t.Errorf("%s is not settled, although it had no holder before", address)
		}
	}
	if again, changed := first.Next(v); changed {
		t.Error(cmp.Diff(first, again))
	}
}

// TestLostStewardIsReplaced guards against needless moves when a steward falls silent: only its endpoints get new holders and
// fencing tokens, they become settled once the new holders report ready, and a steward that returns gets none back right away.
func TestLostStewardIsReplaced(t *testing.T) {
	table, _ := Table{}.Next(view(map[string]time.Duration{"a": 0, "b": 0, "c": 0}, endpoints(9)...))
	silentView := view(map[string]time.Duration{"a": takeoverTimeout, "b": 0, "c": 0}, endpoints(9)...)
	if _, changed := table.Next(silentView); changed {
		t.Error("endpoints were reassigned before takeoverTimeout had passed")
	}
	silentView.SilentFor["a"]++
	moved, _ := table.Next(silentView)
	if diff := cmp.Diff(map[string]int{"b": 5, "c": 4}, counts(moved)); diff != "" {
		t.Error(diff)
	}
	ready := view(map[string]time.Duration{"a": 0, "b": 0, "c": 0}, endpoints(9)...)
	for address, a := range moved.Holders {
		before := table.Holders[address]
		if kept := a == before; kept != (before.Steward != "a") {
			t.Errorf("%s: assignment %+v, before %+v", address, a, before)
		}
		if a.Steward != before.Steward && (a.Settled || a.Fence <= table.Fence) {
			t.Errorf("%s: assignment %+v is settled or has no new fencing token", address, a)
		}
		ready.ReadyFences[address] = a.Fence
	}
	settled, changed := moved.Next(ready)
	if !changed || len(counts(settled)) != 2 {
		t.Errorf("changed %t, endpoints by steward %v", changed, counts(settled))
	}
	for address, a := range settled.Holders {
		if !a.Settled {
			t.Errorf("%s is not settled", address)
		}
	}
}

// TestRebalanceMovesOneEndpoint checks that rebalancing moves one endpoint at a time, as each is without orders for some seconds.
func TestRebalanceMovesOneEndpoint(t *testing.T) {
	table, _ := Table{}.Next(view(map[string]time.Duration{"a": 0, "b": 0}, endpoints(8)...))
	v := view(map[string]time.Duration{"a": 0, "b": 0, "c": 0}, endpoints(8)...)
	v.Rebalance = true
	for moves := 0; ; moves++ {
		next, changed := table.Next(v)
		if !changed {
			if moves != 2 {
				t.Errorf("%d moves, endpoints by steward %v", moves, counts(table))
			}
			return
		}
		for address, a := range next.Holders {
			if a != table.Holders[address] && !table.Holders[address].Settled {
				t.Errorf("%s was moved before its last assignment was settled", address)
			}
			v.ReadyFences[address] = a.Fence
		}
		settled, _ := next.Next(View{Endpoints: v.Endpoints, SilentFor: v.SilentFor, ReadyFences: v.ReadyFences})
		table = settled
	}
}

// TestGoneEndpointLosesHolder checks that an endpoint loses its holder once it is gone and no longer listed, and that fencing
// tokens are not reused when it comes back.
func TestGoneEndpointLosesHolder(t *testing.T) {
	v := view(map[string]time.Duration{"a": 0}, "e0", "e1")
	table, _ := Table{}.Next(v)
	v.Gone = []string{"e1"}
	if same, changed := table.Next(v); changed {
		t.Errorf("a listed endpoint lost its holder: %s", cmp.Diff(table, same))
	}
	v.Endpoints = []string{"e0"}
	before := table
	table, _ = table.Next(v)
	change := table.ChangeFrom(before)
	if got, ok := before.Apply(change); !ok || cmp.Diff(table, got) != "" || len(change.GetHolders()) != 0 {
		t.Errorf("%v %t %s", change, ok, cmp.Diff(table, got))
	}
	if _, ok := table.Apply(change); ok {
		t.Error("a change was applied twice")
	}
	v.Endpoints, v.Gone = []string{"e0", "e1"}, nil
	table, _ = table.Next(v)
	if diff := cmp.Diff(Assignment{Steward: "a", Fence: 3, Settled: true}, table.Holders["e1"]); diff != "" {
		t.Error(diff)
	}
	if got, ok := (Table{}).Apply(table.ToWire()); !ok || cmp.Diff(table, got) != "" {
		t.Errorf("%t %s", ok, cmp.Diff(table, got))
	}
}

// TestRestartWithoutVoteKeepsEndpoints guards against a restart that costs a steward its endpoints, as another one votes in its place.
func TestRestartWithoutVoteKeepsEndpoints(t *testing.T) {
	table, _ := Table{}.Next(view(map[string]time.Duration{"a": 0, "b": 0, "c": 0}, endpoints(9)...))
	v := view(map[string]time.Duration{"a": takeoverTimeout, "b": 0, "c": 0, "d": 0}, endpoints(10)...)
	v.Retained = map[string]bool{"a": true}
	next, _ := table.Next(v)
	if diff := cmp.Diff(map[string]int{"a": 3, "b": 3, "c": 3, "d": 1}, counts(next)); diff != "" {
		t.Error(diff)
	}
	v.SilentFor["a"] = 0
	v.Endpoints = endpoints(18)
	next, _ = next.Next(v)
	if diff := cmp.Diff(map[string]int{"a": 3, "b": 5, "c": 5, "d": 5}, counts(next)); diff != "" {
		t.Error(diff)
	}
	v.SilentFor["a"] = takeoverTimeout + 1
	next, _ = next.Next(v)
	if held := counts(next)["a"]; held != 0 {
		t.Errorf("a steward that has not come back holds %d endpoints", held)
	}
}
