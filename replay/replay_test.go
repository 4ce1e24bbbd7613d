package replay

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const shortHours = 6

// shortCase returns a case that counts the second half of a short trace.
func shortCase(t *testing.T, name string, seed uint64) Case {
	t.Helper()
	d, err := FindDeployment(name)
	if err != nil {
		t.Fatal(err)
	}
	c, err := d.generateCatalog(seed, "")
	if err != nil {
		t.Fatal(err)
	}
	return Case{
		Deployment: d, Catalog: c, Trace: d.GenerateTrace(seed, shortHours), Replacements: d.replacements(seed, shortHours*hourMS),
		FromMS: shortHours / 2 * hourMS, EndMS: shortHours * hourMS,
	}
}

// TestBoundsBelowPolicies checks that no policy that loads on demand costs less than the bound that knows all arrivals.
func TestBoundsBelowPolicies(t *testing.T) {
	for _, name := range []string{"tw-west", "kingston"} {
		for _, seed := range []uint64{101, 102} {
			results := shortCase(t, name, seed).Run()
			bound, preload := results[len(results)-2], results[len(results)-1]
			if bound.Policy != BoundOnDemand || preload.Policy != BoundPreload {
				t.Fatalf("bounds are %q and %q", bound.Policy, preload.Policy)
			}
			if bound.Requests == 0 || preload.Cost > bound.Cost {
				t.Errorf("%s %d: bound %+v, preload %+v", name, seed, bound, preload)
			}
			for _, r := range results[:len(results)-2] {
				if r.Requests != bound.Requests || r.RefusedDecisions > 0 {
					t.Errorf("%s %d: %s counted %d of %d requests, %d decisions refused", name, seed, r.Policy, r.Requests, bound.Requests, r.RefusedDecisions)
				}
				if r.Ahead == 0 && r.Cost < bound.Cost {
					t.Errorf("%s %d: %s costs %g, less than the bound %g", name, seed, r.Policy, r.Cost, bound.Cost)
				}
			}
		}
	}
}

func TestRunIsDeterministic(t *testing.T) {
	first, second := shortCase(t, "kingston", 7).Run(), shortCase(t, "kingston", 7).Run()
	if diff := cmp.Diff(first, second); diff != "" {
		t.Errorf("results (-first +second):\n%s", diff)
	}
}

func TestReadTrace(t *testing.T) {
	cases := []struct {
		name, csv string
		want      []Arrival
		err       error
	}{
		{"header, order and run time", "time,model,run\n2.5,b,1\n1,a\n", []Arrival{{AtMS: 1000, Model: "a", RunMS: medianRunMS}, {AtMS: 2500, Model: "b", RunMS: 1000}}, nil},
		{"comment", "# made by hand\n1,a\n", []Arrival{{AtMS: 1000, Model: "a", RunMS: medianRunMS}}, nil},
		{"one column", "1\n", nil, ErrTraceInvalid{Line: 1, Reason: "must contain time, model and optionally run time"}},
		{"negative time", "-1,a\n", nil, ErrTraceInvalid{Line: 1, Reason: `time must be a non-negative number of seconds, not "-1"`}},
		{"no number", "1,a\nNaN,a\n", nil, ErrTraceInvalid{Line: 2, Reason: `time must be a non-negative number of seconds, not "NaN"`}},
		{"bad run time", "1,a,x\n", nil, ErrTraceInvalid{Line: 1, Reason: `run time must be a number of seconds, not "x"`}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := ReadTrace(strings.NewReader(c.csv))
			if diff := cmp.Diff(c.err, err); diff != "" {
				t.Errorf("error (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("trace (-want +got):\n%s", diff)
			}
		})
	}
}

// TestTraceColdStart simulates a model through its first load and a warm request.
func TestTraceColdStart(t *testing.T) {
	c := shortCase(t, "tw-west", 1).WithTrace([]Arrival{{AtMS: 0, Model: "a", RunMS: 1000}, {AtMS: 40_000, Model: "a", RunMS: 1000}})
	got := c.simulate(candidate{name: PolicyFixed10Min, options: options(fixedKeepAlive(600))})
	model, _ := c.Catalog.Model("a")
	// The token bucket starts empty, so the load begins at a poll once a whole token is available.
	least := startMS/1000 + float64(model.CheckpointMB)/remoteSpeed
	if got.Requests != 2 || got.Cold != 1 || got.ColdSeconds < least || got.ColdSeconds > least+2*pollMS/1000 {
		t.Errorf("cold %d of %d, %g s, load takes %g s", got.Cold, got.Requests, got.ColdSeconds, least)
	}
}
