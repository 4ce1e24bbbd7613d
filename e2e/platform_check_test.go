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

// sentChange is a configuration that the operator sent; acked is zero if it was not acknowledged.
type sentChange struct {
	version     int
	sent, acked time.Time
}

// routeProbe is a request for the route that a configuration version added, at a gateway where it must be in force.
type routeProbe struct {
	gateway string
	version int
	outcome standin.Outcome
}

// configRead is the configuration version that a steward returned; at is when the read began.
type configRead struct {
	at      time.Time
	steward string
	version int
}

// observations holds what callers, endpoints and the operator observed during a run.
type observations struct {
	outcomes    []standin.Outcome
	endpoints   []*standin.Endpoint
	changes     []sentChange
	configReads []configRead
	probes      []routeProbe
	keyProbes   []keyProbe
	// finalReads holds one read from each steward after the load has ended.
	finalReads []configRead
	// finalChange was sent after the final reads.
	finalChange sentChange
	// resumedAt holds the times at which each VM's suspended process was resumed.
	resumedAt map[string][]time.Time
	// stewards and gateways hold the addresses from which these processes send, disturbances when faults affected each VM, by that
	// address.
	stewards     []string
	gateways     []string
	disturbances map[string][]period
	// stops are the times from a SIGTERM to the exit of the process, by the address from which it sent; grace is the longest that one may take.
	stops map[string][]period
	grace time.Duration
	// senders are the addresses from which gateways send, by those to which callers send.
	senders map[string]string
	// recoveredBy is the deadline for recovery after the last fault.
	recoveredBy time.Time
}

// checks verify the documented guarantees, using only what can be observed from outside the cluster. Each returns how many cases it
// judged, and the violations.
var checks = []struct {
	name  string
	check func(observations) (judged int, broken []string)
	// always is set if every run has cases to judge.
	always bool
}{
	{"Once", checkOnce, true},
	{"Refusals", checkRefusals, false},
	{"Lost", checkLost, true},
	{"Answers", checkAnswers, true},
	{"Asked", checkAsked, true},
	{"Holder", checkHolder, true},
	{"Limit", checkLimit, true},
	{"Config", checkConfig, true},
	{"Change", checkChange, true},
	{"InForce", checkInForce, true},
	{"Recover", checkRecover, true},
	{"Leaving", checkLeaving, false},
	{"Pauses", checkPauses, false},
	{"Crashes", checkCrashes, false},
	{"Repeats", checkRepeats, false},
	{"Turns", checkTurns, false},
	{"Versions", checkVersions, false},
	{"TakenUp", checkTakenUp, false},
	{"Teams", checkTeams, true},
	{"Keys", checkKeys, true},
}

// runChecks returns the violations found and the number of cases judged, by check name.
func (o observations) runChecks() (broken map[string][]string, judged map[string]int) {
	broken, judged = map[string][]string{}, map[string]int{}
	for _, c := range checks {
		n, found := c.check(o)
		if c.always && n == 0 {
			found = append(found, "there was nothing to judge")
		}
		if judged[c.name] = n; len(found) > 0 {
			broken[c.name] = found
		}
	}
	return broken, judged
}

// runsByID returns all runs by request ID.
func (o observations) runsByID() map[string][]standin.Run {
	runs := map[string][]standin.Run{}
	for _, e := range o.endpoints {
		for _, r := range e.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	return runs
}

// retryable reports whether the routing table allows a request to this path to run more than once.
func retryable(path string) bool {
	return !strings.HasPrefix(path, "/book/") && !strings.HasPrefix(path, "/once/")
}

// maxAttempts is MaxAttempts in the routing table.
const maxAttempts = 2

// checkOnce checks that a non-retryable request runs at most once and any other at most maxAttempts times.
func checkOnce(o observations) (judged int, broken []string) {
	for id, runs := range o.runsByID() {
		judged++
		if limit := map[bool]int{true: maxAttempts, false: 1}[retryable(runs[0].Path)]; len(runs) > limit {
			broken = append(broken, fmt.Sprintf("%s %s ran %d times", runs[0].Path, id, len(runs)))
		}
	}
	return judged, broken
}

// checkRefusals checks that no endpoint ran a request whose answer promised that it has not run and will not run.
func checkRefusals(o observations) (judged int, broken []string) {
	runs := o.runsByID()
	for _, outcome := range o.outcomes {
		if outcome.NotRun {
			judged++
		}
		if outcome.NotRun && len(runs[outcome.ID]) > 0 {
			broken = append(broken, fmt.Sprintf("%s %s was answered with status %d as not run, but an endpoint ran it", outcome.Path, outcome.ID, outcome.Status))
		}
	}
	return judged, broken
}

// checkAnswers checks that a successful answer is the endpoint's own, that a stream's events are in order without gaps, and
// that a truncated answer does not look complete.
func checkAnswers(o observations) (judged int, broken []string) {
	for _, outcome := range o.outcomes {
		if outcome.Err != nil {
			if strings.Contains(outcome.Err.Error(), "the answer to") {
				broken = append(broken, outcome.Err.Error())
			}
		}
		if outcome.Status/100 != 2 {
			continue
		}
		judged++
		endpoint, id, _ := strings.Cut(outcome.Stamp, ".")
		want := standin.ResponseBody(endpoint, outcome.ID)
		if outcome.Model != "" {
			want = ""
			for i := outcome.LastEvent; i < streamEvents; i++ {
				want += standin.Event(outcome.ID, i+1)
			}
		}
		if id != outcome.ID || outcome.Complete && outcome.Body != want || !strings.HasPrefix(want, outcome.Body) {
			broken = append(broken, fmt.Sprintf("%s %s: complete %t, stamp %q, body %q", outcome.Path, outcome.ID, outcome.Complete, outcome.Stamp, outcome.Body))
		}
	}
	return judged, broken
}

// checkAsked checks that endpoints run only requests that callers sent, with path, model and body unchanged.
func checkAsked(o observations) (judged int, broken []string) {
	sent := map[string]standin.Request{}
	for _, outcome := range o.outcomes {
		sent[outcome.ID] = outcome.Request
	}
	for id, runs := range o.runsByID() {
		request, found := sent[id]
		digest := sha256.Sum256(request.Body)
		judged += len(runs)
		for _, r := range runs {
			if !found || r.Path != request.Path || r.Model != request.Model || r.Body != hex.EncodeToString(digest[:8]) {
				broken = append(broken, fmt.Sprintf("request %q ran with path %s and model %q, which differs from what was sent", id, r.Path, r.Model))
			}
		}
	}
	return judged, broken
}

// checkHolder checks that an endpoint gets orders from one holder at a time: another holder needs a higher fencing token and
// must wait until the lease of the previous one has expired. As on the platform, orders that a process sends within
// resumeGrace after it was resumed are ignored.
func checkHolder(o observations) (judged int, broken []string) {
	for _, e := range o.endpoints {
		orders := slices.DeleteFunc(e.Orders(), func(order standin.Order) bool {
			return slices.ContainsFunc(o.resumedAt[order.Holder], func(at time.Time) bool { return order.At.After(at) && order.At.Sub(at) < resumeGrace })
		})
		judged += len(orders)
		for i := 1; i < len(orders); i++ {
			previous, next := orders[i-1], orders[i]
			if previous.Holder != next.Holder && (next.At.Sub(previous.At) < platformLease || next.Fence <= previous.Fence) || previous.Holder == next.Holder && next.Fence < previous.Fence {
				broken = append(broken, fmt.Sprintf("%s: order from %s with fencing token %d, %v later from %s with fencing token %d", e.ID, previous.Holder, previous.Fence, next.At.Sub(previous.At), next.Holder, next.Fence))
			}
		}
	}
	return judged, broken
}

// checkLimit checks that no endpoint is ordered to load more than its capacity.
func checkLimit(o observations) (judged int, broken []string) {
	for _, e := range o.endpoints {
		judged += len(e.Orders())
		if excess := e.Overcommitted(); excess != "" {
			broken = append(broken, e.ID+": "+excess)
		}
	}
	return judged, broken
}

// checkConfig checks that a read returns no version older than one acknowledged more than maxApplyDelay before, and that every
// steward has the newest acknowledged version at the end.
func checkConfig(o observations) (judged int, broken []string) {
	newestAcked := 0
	for _, c := range o.changes {
		if !c.acked.IsZero() {
			newestAcked = max(newestAcked, c.version)
		}
	}
	judged = len(o.configReads)
	for _, r := range o.configReads {
		for _, c := range o.changes {
			if !c.acked.IsZero() && r.at.Sub(c.acked) > maxApplyDelay && r.version < c.version {
				broken = append(broken, fmt.Sprintf("%s returned version %d, %v after version %d was acknowledged", r.steward, r.version, r.at.Sub(c.acked), c.version))
			}
		}
	}
	for _, r := range o.finalReads {
		if r.version < newestAcked {
			broken = append(broken, fmt.Sprintf("%s has version %d at the end, but version %d was acknowledged", r.steward, r.version, newestAcked))
		}
	}
	if len(o.finalReads) < len(o.stewards) {
		broken = append(broken, fmt.Sprintf("only %d of %d stewards returned their configuration at the end", len(o.finalReads), len(o.stewards)))
	}
	return judged, broken
}

// checkChange checks that a configuration that is sent after the recovery is acknowledged.
func checkChange(o observations) (judged int, broken []string) {
	if o.finalChange.acked.IsZero() {
		broken = append(broken, fmt.Sprintf("version %d, sent after the recovery, was not acknowledged in %v", o.finalChange.version, finalReadTimeout))
	}
	return 1, broken
}

// contactTime is how long a gateway and all stewards must have been without a fault for a gateway to count as connected.
const contactTime = 3 * time.Second

// checkInForce checks that a connected gateway denies no route of a version that was acknowledged more than maxApplyDelay before, and
// does not refuse a request because it lacks that version.
func checkInForce(o observations) (judged int, broken []string) {
	for _, p := range o.probes {
		if o.excused(p.gateway, p.outcome) {
			continue
		}
		judged++
		if p.outcome.Status == http.StatusNotFound || p.outcome.Status == http.StatusServiceUnavailable && strings.Contains(p.outcome.Body, "configuration") {
			broken = append(broken, fmt.Sprintf("%s has no route of version %d, which was acknowledged more than %v before", p.gateway, p.version, maxApplyDelay))
		}
	}
	return judged, broken
}

// excused reports whether a fault affected a gateway or a steward during an outcome or in the contactTime before.
func (o observations) excused(gateway string, outcome standin.Outcome) bool {
	from, until := outcome.Sent.Add(-contactTime), outcome.Done
	return o.disturbed(gateway, from, until) || o.unstable(from, until)
}

// unstable reports whether a fault of a steward in a period may have affected others.
func (o observations) unstable(from, until time.Time) bool {
	return slices.ContainsFunc(o.stewards, func(steward string) bool {
		return slices.ContainsFunc(o.disturbances[steward], func(p period) bool { return !p.ownOnly && p.overlaps(from, until) })
	})
}

// minServedRatio is the share of requests that must succeed after recovery; the platform requires only a quarter of it.
const minServedRatio = 0.95

// checkRecover checks that all requests sent after recovery are answered and that at least minServedRatio of them succeed, where their callers
// don't leave. Requests with keys that tables add and remove are judged by checkKeys.
func checkRecover(o observations) (judged int, broken []string) {
	served, sent := 0, 0
	for _, outcome := range o.outcomes {
		if outcome.Sent.Before(o.recoveredBy) || outcome.LeaveAfter > 0 || isVersionKey(outcome.Key) {
			continue
		}
		sent++
		switch {
		case outcome.Status == 0:
			broken = append(broken, fmt.Sprintf("%s %s got no answer in %v: %v", outcome.Path, outcome.ID, outcome.Done.Sub(outcome.Sent), outcome.Err))
		case outcome.Status == http.StatusOK && outcome.Complete:
			served++
		}
	}
	if float64(served) < minServedRatio*float64(sent) || sent == 0 {
		broken = append(broken, fmt.Sprintf("%d of %d requests served after the recovery", served, sent))
	}
	return sent, broken
}

// disturbed reports whether a fault affected the sender of calls in a period. Its restart or freeze, or a cut of its connections, may
// make it lose what an endpoint told it.
func (o observations) disturbed(sender string, from, until time.Time) bool {
	return slices.ContainsFunc(o.disturbances[sender], func(p period) bool { return p.overlaps(from, until) })
}

// maxCrossing is how many calls to an endpoint may cross its response that asks for a pause, and crossingTime how long that may take.
const (
	maxCrossing  = 2
	crossingTime = 500 * time.Millisecond
)

// checkPauses checks that a process sends no call to an endpoint that asked it for a pause, until the pause's end.
func checkPauses(o observations) (judged int, broken []string) {
	for _, e := range o.endpoints {
		calls := e.Calls()
		for _, asked := range calls {
			if asked.PausedUntil.Sub(asked.At) < crossingTime || o.disturbed(asked.From, asked.At, asked.PausedUntil) {
				continue
			}
			judged++
			late := 0
			for _, call := range calls {
				if call.From == asked.From && call.At.Sub(asked.At) > crossingTime && call.At.Before(asked.PausedUntil) {
					late++
				}
			}
			if late > maxCrossing {
				broken = append(broken, fmt.Sprintf("%s: %d calls from %s in a pause of %v", e.ID, late, asked.From, asked.PausedUntil.Sub(asked.At)))
			}
		}
	}
	return judged, broken
}

// checkLeaving checks that a gateway that has passed on an endpoint's response saying that the endpoint is leaving sends it no request
// that a caller sent later than the drain time after that.
func checkLeaving(o observations) (judged int, broken []string) {
	byID := map[string]standin.Outcome{}
	for _, outcome := range o.outcomes {
		byID[outcome.ID] = outcome
	}
	for _, e := range o.endpoints {
		toldAt := map[string]time.Time{}
		for _, call := range e.Calls() {
			outcome := byID[call.ID]
			if !slices.Contains(o.gateways, call.From) || outcome.ID == "" {
				continue
			}
			told := toldAt[call.From]
			if !told.IsZero() && outcome.Sent.Sub(told) > platformDrain && !o.disturbed(call.From, told, call.At) {
				broken = append(broken, fmt.Sprintf("%s: %s from %s, %v after it said that it is leaving", e.ID, call.ID, call.From, outcome.Sent.Sub(told)))
			}
			passedOn := outcome.Complete && strings.HasPrefix(outcome.Stamp, e.ID+".")
			if call.Leaving && passedOn && (told.IsZero() || outcome.Done.Before(told)) {
				toldAt[call.From] = outcome.Done
			}
		}
		for gateway, told := range toldAt {
			if slices.ContainsFunc(o.outcomes, func(outcome standin.Outcome) bool { return outcome.Sent.Sub(told) > platformDrain }) && !o.disturbed(gateway, told, told.Add(2*platformDrain)) {
				judged++
			}
		}
	}
	return judged, broken
}
