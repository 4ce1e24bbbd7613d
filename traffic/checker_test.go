package traffic

import (
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/standin"
)

// TestViolations checks that the violation of each guarantee is detected.
func TestViolations(t *testing.T) {
	begin := time.Unix(1000, 0)
	attempt := func(change func(*Attempt)) Attempt {
		a := Attempt{Kind: Booking, Key: "k", Begin: begin, Duration: time.Second, Status: http.StatusOK}
		change(&a)
		return a
	}
	refused := func(run string) Attempt {
		return attempt(func(a *Attempt) { a.Status, a.Problem.Run = http.StatusServiceUnavailable, run })
	}
	outage := Outage{Begin: begin, End: begin.Add(time.Minute)}
	tests := []struct {
		name    string
		checker Checker
		want    []string
	}{
		{"complete", Checker{Attempts: []Attempt{attempt(func(*Attempt) {})}, Runs: map[string]int{"k": 1}}, nil},
		{"answer to another request", Checker{Attempts: []Attempt{attempt(func(a *Attempt) { a.WrongAnswer = true })}, Runs: map[string]int{"k": 1}}, []string{"answer belongs to another request"}},
		{"cut", Checker{Attempts: []Attempt{attempt(func(a *Attempt) { a.Incomplete, a.Status = true, 0 })}}, []string{"no answer"}},
		{"cut by a crashed entry", Checker{Attempts: []Attempt{attempt(func(a *Attempt) { a.Incomplete, a.Status = true, 0 })}, Outages: []Outage{outage}}, nil},
		{"cut by a graceful shutdown", Checker{Attempts: []Attempt{refused("NotRun")}, GracefulShutdowns: []Outage{outage}}, []string{"graceful shutdown cut off a request"}},
		{"late", Checker{Attempts: []Attempt{attempt(func(a *Attempt) { a.Duration = time.Minute })}, Runs: map[string]int{"k": 1}}, []string{"answer too late"}},
		{"refusal without run status", Checker{Attempts: []Attempt{refused("")}}, []string{"refusal without Run"}},
		{"refused as not run, but run", Checker{Attempts: []Attempt{refused("NotRun")}, Runs: map[string]int{"k": 1}}, []string{"booking ran though refused as not run"}},
		{"outcome unknown, run once", Checker{Attempts: []Attempt{refused("Unknown")}, Runs: map[string]int{"k": 1}}, nil},
		{"run twice", Checker{Attempts: []Attempt{attempt(func(*Attempt) {})}, Runs: map[string]int{"k": 2}}, []string{"booking ran twice"}},
		{"answered, but not run", Checker{Attempts: []Attempt{attempt(func(*Attempt) {})}}, []string{"booking answered but not run"}},
		{"engines", Checker{Engines: []standin.Counts{{Overcommits: 1, PeakReplicas: map[string]int{"m": 2}}}}, []string{"memory overcommitted", "multiple replicas of a model"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if diff := cmp.Diff(test.want, slices.Sorted(maps.Keys(test.checker.Violations()))); diff != "" {
				t.Errorf("violations (-want +got):\n%s", diff)
			}
		})
	}
}
