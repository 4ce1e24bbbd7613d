package e2e

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"burdocksaddle/platform/standin"
)

// randomNotices draws faults in which an endpoint announces something about itself: that it is about to stop, and that it wants no
// requests for a while. Each run has at least one of each.
func randomNotices(r *rand.Rand, shape clusterShape) []fault {
	var faults []fault
	for _, kind := range []string{"endpoint leaves", "endpoint pauses", "endpoint pauses", "endpoint leaves"}[:2+r.IntN(3)] {
		f := fault{
			at: time.Duration(r.Int64N(int64(injectionWindow))), kind: kind, endpoint: r.IntN(shape.endpoints()),
			duration: time.Second + time.Duration(r.Int64N(int64(4*time.Second))),
		}
		if kind == "endpoint leaves" {
			f.duration += 2 * platformDrain
		}
		faults = append(faults, f)
	}
	return faults
}

// randomTroubles draws an endpoint that names a limit for long enough to be judged, and the times in which requests with a deadly part and a
// deadly request come.
func randomTroubles(r *rand.Rand, shape clusterShape) []fault {
	at := func() time.Duration { return time.Duration(r.Int64N(int64(injectionWindow))) }
	return []fault{
		{at: at(), kind: "endpoint limit", endpoint: r.IntN(shape.endpoints()), limit: 1 + 4*r.Float64(), duration: contactTime + 2*limitWindow},
		{at: at(), kind: "deadly part", duration: 2 * contactTime},
		{at: at(), kind: "deadly request", duration: 3 * contactTime},
	}
}

// Once maxCrashes endpoints have crashed under requests that share a part, or maxRepeatCrashes under the same request, maxLaterDeadly such
// requests may reach endpoints later than contactTime after that.
const (
	maxCrashes       = 5
	maxRepeatCrashes = 3
	maxLaterDeadly   = 3
)

// checkCrashes checks that requests that share a deadly part stop reaching endpoints.
func checkCrashes(o observations) (judged int, broken []string) {
	return o.checkDeadly(maxCrashes, func(run standin.Run) bool { return run.Deadly },
		func(outcome standin.Outcome) bool { return strings.Contains(outcome.Parts, deadlyPart) })
}

// checkRepeats checks that a deadly request stops reaching endpoints.
func checkRepeats(o observations) (judged int, broken []string) {
	return o.checkDeadly(maxRepeatCrashes, func(run standin.Run) bool { return run.DeadlyRequest },
		func(outcome standin.Outcome) bool { return outcome.Path == deadlyRequest.Path })
}

// checkDeadly checks that deadly requests stop reaching endpoints after some crashes. isDeadly selects their runs, isSent what callers sent.
func (o observations) checkDeadly(crashes int, isDeadly func(standin.Run) bool, isSent func(standin.Outcome) bool) (judged int, broken []string) {
	type deadlyRun struct {
		standin.Run
		gateway string
	}
	var runs []deadlyRun
	for _, e := range o.endpoints {
		gatewayOf := map[string]string{}
		for _, call := range e.Calls() {
			gatewayOf[call.ID] = call.From
		}
		for _, run := range e.Runs() {
			if isDeadly(run) {
				runs = append(runs, deadlyRun{run, gatewayOf[run.ID]})
			}
		}
	}
	if len(runs) < crashes {
		return 0, nil
	}
	slices.SortFunc(runs, func(a, b deadlyRun) int { return a.Start.Compare(b.Start) })
	last, late := runs[crashes-1].Start, 0
	for _, run := range runs {
		if run.Start.Sub(last) > contactTime && !o.outOfTouch(run.gateway, run.Start) {
			late++
		}
	}
	for _, outcome := range o.outcomes {
		if isSent(outcome) && outcome.Sent.Sub(last) > contactTime {
			judged++
		}
	}
	if late > maxLaterDeadly {
		broken = append(broken, fmt.Sprintf("%d deadly requests reached endpoints later than %v after %d crashes", late, contactTime, crashes))
	}
	return judged, broken
}

// outOfTouch reports whether a fault affected a gateway or any steward shortly before the given time.
func (o observations) outOfTouch(gateway string, at time.Time) bool {
	return o.disturbed(gateway, at.Add(-contactTime), at) || o.unstable(at.Add(-contactTime), at)
}

// Of an endpoint's limit, limitSlack times and limitExtra requests more are allowed in limitWindow.
const (
	limitSlack  = 1.5
	limitExtra  = 5
	limitWindow = 4 * time.Second
	// toldAfter is how long after a gateway has passed on a response with a limit its requests count.
	toldAfter = 500 * time.Millisecond
)

// checkTurns checks that an endpoint that named a limit gets no more requests from the gateways that it told, all together.
func checkTurns(o observations) (judged int, broken []string) {
	byID := map[string]standin.Outcome{}
	for _, outcome := range o.outcomes {
		byID[outcome.ID] = outcome
	}
	for _, e := range o.endpoints {
		calls := slices.DeleteFunc(e.Calls(), func(call standin.Call) bool {
			return call.ID == "" || call.Limit == 0 || !slices.Contains(o.gateways, call.From)
		})
		if len(calls) == 0 {
			continue
		}
		first, toldAt := calls[0].At, map[string]time.Time{}
		var counted []time.Time
		for _, call := range calls {
			told := toldAt[call.From]
			if !told.IsZero() && call.At.Sub(told) >= toldAfter && call.At.Sub(first) >= contactTime && !o.disturbed(call.From, told, call.At) {
				counted = append(counted, call.At)
			}
			outcome := byID[call.ID]
			passedOn := outcome.Complete && strings.HasPrefix(outcome.Stamp, e.ID+".")
			if passedOn && (told.IsZero() || outcome.Done.Before(told)) {
				toldAt[call.From] = outcome.Done
			}
		}
		limit := slices.MaxFunc(calls, func(a, b standin.Call) int { return cmp.Compare(a.Limit, b.Limit) }).Limit
		allowed, most := limitSlack*limit*limitWindow.Seconds()+limitExtra, 0
		for i, from := range counted {
			n := 0
			for n < len(counted)-i && counted[i+n].Sub(from) <= limitWindow {
				n++
			}
			most = max(most, n)
		}
		if len(toldAt) > 0 {
			judged++
		}
		if float64(most) > allowed {
			broken = append(broken, fmt.Sprintf("%s with a limit of %.1f a second got %d requests in %v, %.0f are allowed", e.ID, limit, most, limitWindow, allowed))
		}
	}
	return judged, broken
}

// maxWrongStreams is how many streams may go on at another software version than the one that began them, at connected gateways or not.
const maxWrongStreams = 2

// checkVersions checks that streams go on at the software version that began them, within a response and where a caller takes them up.
func checkVersions(o observations) (judged int, broken []string) {
	type versionRun struct {
		standin.Run
		software string
	}
	runs := map[string][]versionRun{}
	for _, e := range o.endpoints {
		for _, run := range e.Runs() {
			if run.Model != "" && run.Sent > 0 {
				runs[run.ID] = append(runs[run.ID], versionRun{run, e.Software})
			}
		}
	}
	wrong := 0
	for _, outcome := range o.outcomes {
		origin := cmp.Or(outcome.Resumes, outcome.ID)
		var first versionRun
		for _, run := range runs[origin] {
			// A later run from the start shows that the caller had received nothing.
			if run.ResumedAfter == 0 && run.Start.After(first.Start) {
				first = run
			}
		}
		for _, run := range runs[outcome.ID] {
			if run.ResumedAfter == 0 || first.ID == "" {
				continue
			}
			judged++
			if run.software != first.software {
				wrong++
			}
		}
	}
	if wrong > maxWrongStreams {
		broken = append(broken, fmt.Sprintf("%d streams went on at another software version", wrong))
	}
	return judged, broken
}

// minTakenUp is how many streams callers must have taken up for these to be judged.
const minTakenUp = 12

// checkTakenUp checks that of the streams that callers take up at connected gateways at least half as many go on as new streams begin.
func checkTakenUp(o observations) (judged int, broken []string) {
	type count struct{ sent, served int }
	var begun, takenUp count
	for _, outcome := range o.outcomes {
		if !strings.HasPrefix(outcome.Path, livePath) || o.outOfTouch(o.senders[outcome.Gateway], outcome.Sent) {
			continue
		}
		counted := &begun
		if outcome.Resumes != "" {
			counted = &takenUp
		}
		counted.sent++
		if outcome.Status == http.StatusOK {
			counted.served++
		}
	}
	if takenUp.sent < minTakenUp || begun.sent == 0 {
		return 0, nil
	}
	if 2*takenUp.served*begun.sent < takenUp.sent*begun.served {
		broken = append(broken, fmt.Sprintf("%d of %d streams that were taken up went on, %d of %d new ones began", takenUp.served, takenUp.sent, begun.served, begun.sent))
	}
	return takenUp.sent, broken
}
