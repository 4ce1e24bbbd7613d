package e2e

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"burdocksaddle/platform/standin"
)

// sentChange is one configuration that the operator sent, with when it was acknowledged, if it was.
type sentChange struct {
	version     int
	sent, acked time.Time
}

// readBack is one reading of the configuration at a steward.
type readBack struct {
	at      time.Time
	steward string
	version int
}

// facts are what callers, endpoints and the operator saw.
type facts struct {
	outcomes  []standin.Outcome
	endpoints []*standin.Endpoint
	changes   []sentChange
	reads     []readBack
	// final are the readings after the load's end, one at each steward.
	final []readBack
	// thawed are the moments at which a VM's process went on.
	thawed map[string][]time.Time
	// healed is when all was well again for longer than recovery may take.
	healed time.Time
}

// checks are the promises of the users' pages, each judged by what was seen from outside.
var checks = []struct {
	name  string
	check func(facts) []string
}{
	{"Once", checkOnce},
	{"Refusals", checkRefusals},
	{"Answers", checkAnswers},
	{"Asked", checkAsked},
	{"Holder", checkHolder},
	{"Limit", checkLimit},
	{"Config", checkConfig},
	{"Recover", checkRecover},
}

// judge returns what is broken, by check.
func (f facts) judge() map[string][]string {
	broken := map[string][]string{}
	for _, c := range checks {
		if found := c.check(f); len(found) > 0 {
			broken[c.name] = found
		}
	}
	return broken
}

// runsOf returns all runs by the request's id.
func (f facts) runsOf() map[string][]standin.Run {
	runs := map[string][]standin.Run{}
	for _, e := range f.endpoints {
		for _, r := range e.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	return runs
}

// repeatable tells whether a request may run more than once, by the table's routes.
func repeatable(path string) bool {
	return !strings.HasPrefix(path, "/book/") && !strings.HasPrefix(path, "/once/")
}

// maxRuns is the table's MaxAttempts.
const maxRuns = 2

// checkOnce: what may not be repeated runs once at most, anything else on no more endpoints than its route allows.
func checkOnce(f facts) (broken []string) {
	for id, runs := range f.runsOf() {
		if most := map[bool]int{true: maxRuns, false: 1}[repeatable(runs[0].Path)]; len(runs) > most {
			broken = append(broken, fmt.Sprintf("%s %s ran %d times", runs[0].Path, id, len(runs)))
		}
	}
	return broken
}

// checkRefusals: who was told that a request has not run and will not finds no run of it.
func checkRefusals(f facts) (broken []string) {
	runs := f.runsOf()
	for _, o := range f.outcomes {
		if o.NotRun && len(runs[o.ID]) > 0 {
			broken = append(broken, fmt.Sprintf("%s %s was answered %d and has run", o.Path, o.ID, o.Status))
		}
	}
	return broken
}

// checkAnswers: a success is the endpoint's own whole answer, a stream's events are in order without a gap, and an answer that
// ends early does not look complete.
func checkAnswers(f facts) (broken []string) {
	for _, o := range f.outcomes {
		if o.Err != nil {
			if strings.Contains(o.Err.Error(), "the answer to") {
				broken = append(broken, o.Err.Error())
			}
		}
		if o.Status/100 != 2 {
			continue
		}
		endpoint, id, _ := strings.Cut(o.Stamp, ".")
		want := standin.Answer(endpoint, o.ID)
		if o.Model != "" {
			want = ""
			for n := range streamEvents {
				want += standin.Event(o.ID, n+1)
			}
		}
		if id != o.ID || o.Whole && o.Body != want || !strings.HasPrefix(want, o.Body) {
			broken = append(broken, fmt.Sprintf("%s %s: whole %t, stamp %q, body %q", o.Path, o.ID, o.Whole, o.Stamp, o.Body))
		}
	}
	return broken
}

// checkAsked: endpoints run only what callers sent, as they sent it.
func checkAsked(f facts) (broken []string) {
	sent := map[string]standin.Attempt{}
	for _, o := range f.outcomes {
		sent[o.ID] = o.Attempt
	}
	for id, runs := range f.runsOf() {
		a, known := sent[id]
		digest := sha256.Sum256(a.Body)
		for _, r := range runs {
			if !known || r.Path != a.Path || r.Model != a.Model || r.Body != hex.EncodeToString(digest[:8]) {
				broken = append(broken, fmt.Sprintf("%q ran as %s model %q", id, r.Path, r.Model))
			}
		}
	}
	return broken
}

// checkHolder: an endpoint's orders come from one holder, and from another only under a higher fence and once the lease of the
// first is over. What a process sends in the moment after it was thawed does not count, as on the platform.
func checkHolder(f facts) (broken []string) {
	for _, e := range f.endpoints {
		orders := slices.DeleteFunc(e.Orders(), func(o standin.Order) bool {
			return slices.ContainsFunc(f.thawed[o.Holder], func(at time.Time) bool { return o.At.After(at) && o.At.Sub(at) < faultThaw })
		})
		for i := 1; i < len(orders); i++ {
			a, b := orders[i-1], orders[i]
			if a.Holder != b.Holder && (b.At.Sub(a.At) < faultLease || b.Fence <= a.Fence) || a.Holder == b.Holder && b.Fence < a.Fence {
				broken = append(broken, fmt.Sprintf("%s: %s under %d, %v later %s under %d", e.ID, a.Holder, a.Fence, b.At.Sub(a.At), b.Holder, b.Fence))
			}
		}
	}
	return broken
}

// checkLimit: no endpoint is ordered to hold more than it can.
func checkLimit(f facts) (broken []string) {
	for _, e := range f.endpoints {
		if over := e.Overcommitted(); over != "" {
			broken = append(broken, e.ID+": "+over)
		}
	}
	return broken
}

// checkConfig: no reading is older than what was acknowledged longer ago than a change may take, and what was acknowledged is
// there at the end.
func checkConfig(f facts) (broken []string) {
	newest := 0
	for _, c := range f.changes {
		if !c.acked.IsZero() {
			newest = max(newest, c.version)
		}
	}
	for _, r := range f.reads {
		for _, c := range f.changes {
			if !c.acked.IsZero() && r.at.Sub(c.acked) > faultApply && r.version < c.version {
				broken = append(broken, fmt.Sprintf("%s read %d, %v after %d was acknowledged", r.steward, r.version, r.at.Sub(c.acked), c.version))
			}
		}
	}
	for _, r := range f.final {
		if r.version < newest {
			broken = append(broken, fmt.Sprintf("%s ends with %d, %d was acknowledged", r.steward, r.version, newest))
		}
	}
	if len(f.final) < faultStewards {
		broken = append(broken, fmt.Sprintf("%d of %d stewards could be read at the end", len(f.final), faultStewards))
	}
	return broken
}

// servedLeast is the share of the requests that must be served once recovery is over; the platform asks for a quarter of that.
const servedLeast = 0.95

// checkRecover: every request that is sent after the recovery is answered, and nearly all are served.
func checkRecover(f facts) (broken []string) {
	served, sent := 0, 0
	for _, o := range f.outcomes {
		if o.Sent.Before(f.healed) {
			continue
		}
		sent++
		switch {
		case o.Status == 0:
			broken = append(broken, fmt.Sprintf("%s %s got no answer in %v: %v", o.Path, o.ID, o.Done.Sub(o.Sent), o.Err))
		case o.Status == http.StatusOK && o.Whole:
			served++
		}
	}
	if float64(served) < servedLeast*float64(sent) || sent == 0 {
		broken = append(broken, fmt.Sprintf("%d of %d requests served after the recovery", served, sent))
	}
	return broken
}
