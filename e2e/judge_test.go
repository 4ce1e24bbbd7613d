package e2e

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"burdocksaddle/standin"
)

// outage is a time in which requests through an entry may go unanswered.
type outage struct {
	entry      int
	begin, end time.Time
}

// covers tells whether a request was open during the outage.
func (o outage) covers(a attempt) bool {
	return o.entry == a.entry && a.begin.Before(o.end) && !a.begin.Add(a.took).Before(o.begin)
}

// maxShown bounds how many faults of one sort are printed.
const maxShown = 5

// judge holds what is known at the end of a run.
type judge struct {
	attempts []attempt
	outages  []outage
	// stops are graceful: no request that comes before the balancer has turned away may suffer.
	stops   []outage
	runs    map[string]int
	engines []standin.Counts
}

// check fails the test for every promise that was broken and returns the verdict's counts.
func (j judge) check(t *testing.T) {
	t.Helper()
	faults := map[string][]string{}
	for _, a := range j.attempts {
		if sort := j.fault(a); sort != "" {
			faults[sort] = append(faults[sort], fmt.Sprintf("%s %s via %s at %s after %v: status %d %+v %s", a.kind, a.key, entry(a.entry),
				a.begin.Format("15:04:05.000"), a.took.Round(time.Millisecond), a.status, a.problem, a.detail))
		}
	}
	for key, tries := range byKey(j.attempts) {
		if sort := j.bookingFault(key, tries); sort != "" {
			faults[sort] = append(faults[sort], fmt.Sprintf("%s ran %d times, %d tries, last status %d %+v", key, j.runs[key], len(tries), tries[len(tries)-1].status, tries[len(tries)-1].problem))
		}
	}
	for i, counts := range j.engines {
		if counts.Overcommits > 0 {
			faults["memory overcommitted"] = append(faults["memory overcommitted"], fmt.Sprintf("engine-%d: %d times", i+1, counts.Overcommits))
		}
		for model, peak := range counts.PeakReplicas {
			if peak > 1 {
				faults["replicas undecided"] = append(faults["replicas undecided"], fmt.Sprintf("engine-%d held %s %d times", i+1, model, peak))
			}
		}
	}
	for _, sort := range slices.Sorted(maps.Keys(faults)) {
		shown := faults[sort][:min(maxShown, len(faults[sort]))]
		t.Errorf("%s: %d\n  %s", sort, len(faults[sort]), strings.Join(shown, "\n  "))
	}
}

// fault names the promise that one request's outcome breaks.
func (j judge) fault(a attempt) string {
	excused := slices.ContainsFunc(j.outages, func(o outage) bool { return o.covers(a) })
	switch {
	case a.wrong:
		return "answer is not the request's own"
	case a.cut && a.status == http.StatusOK && a.kind == stream && strings.Contains(a.detail, "event: error"):
		return "" // a cut that the caller is told of is no whole answer passed off
	case a.status != http.StatusOK && slices.ContainsFunc(j.stops, func(o outage) bool { return o.covers(a) }):
		return "graceful shutdown cut off a request"
	case a.cut && !excused:
		return "no answer"
	case a.took > requestDeadline+answerSlack && !excused:
		return "answer too late"
	case a.status >= http.StatusBadRequest && a.problem.Run == "":
		return "refusal without Run"
	}
	return ""
}

// bookingFault names the promise that a booking's runs break.
func (j judge) bookingFault(key string, tries []attempt) string {
	answered := slices.ContainsFunc(tries, func(a attempt) bool { return a.status == http.StatusOK && !a.cut })
	refused := !slices.ContainsFunc(tries, func(a attempt) bool { return a.cut || a.problem.Run != "NotRun" })
	switch runs := j.runs[key]; {
	case runs > 1:
		return "booking ran twice"
	case answered && runs == 0:
		return "booking answered but not run"
	case refused && runs > 0:
		return "booking ran though refused as not run"
	}
	return ""
}

func byKey(attempts []attempt) map[string][]attempt {
	keys := map[string][]attempt{}
	for _, a := range attempts {
		if a.kind == booking {
			keys[a.key] = append(keys[a.key], a)
		}
	}
	return keys
}

// summary counts outcomes of each kind.
func summary(attempts []attempt) string {
	counts := map[string]int{}
	for _, a := range attempts {
		outcome := "answered"
		switch {
		case a.cut:
			outcome = "cut"
		case a.status != http.StatusOK:
			outcome = a.problem.Code + "/" + a.problem.Run
		}
		counts[string(a.kind)+" "+outcome]++
	}
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		lines = append(lines, fmt.Sprintf("%s=%d", strings.ReplaceAll(name, " ", "."), counts[name]))
	}
	return strings.Join(lines, " ")
}
