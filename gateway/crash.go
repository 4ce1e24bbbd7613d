package gateway

import (
	"context"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/logging"
	"burdocksaddle/quarantine"
	"burdocksaddle/wirepb"
)

const (
	// steadyStreamTime is how long a stream must go on after its first event to count as an answer to the parts of its prompt.
	steadyStreamTime = time.Second
	// maxPendingCrashes limits the failures that wait to be confirmed as crashes, maxSightings the confirmed ones that are kept.
	maxPendingCrashes = 256
	maxSightings      = 128
	// sightingTTL is how long a crash is kept, to be reported to a new leader.
	sightingTTL = time.Minute
	// trialBackoff is how long after a gateway asked for a trial it asks for the same request again, trialRetryAfter the shortest time after
	// which the client of a quarantined request is told to return.
	trialBackoff    = 2 * time.Second
	trialRetryAfter = time.Second
	// maxAnswers limits the answers that are remembered.
	maxAnswers = 16384
	// stopCheckDelay is the time between the two attempts to find out whether an endpoint has stopped, stopCheckTTL how long a negative
	// result counts.
	stopCheckDelay = 30 * time.Millisecond
	stopCheckTTL   = 200 * time.Millisecond
	// answerInterval is the minimum time between two reports of answers to one part.
	answerInterval = time.Second
	pruneInterval  = 5 * time.Second
	// quarantinedReason and quarantinedRequestReason are the reasons of refusals because of a quarantine.
	quarantinedReason        = "a part of its prompt has crashed several endpoints"
	quarantinedRequestReason = "the same request has crashed several endpoints"
)

// crashRecord is what a gateway knows of requests that crash endpoints. It is guarded by the gateway's mutex.
type crashRecord struct {
	table  quarantine.Table
	trials quarantine.Trials
	// suspects are the parts that the leader asks about.
	suspects []uint64
	// answeredAt is when a request with a part, or with a key, was last answered, reportedAt when the leader was last told so.
	answeredAt, reportedAt map[uint64]time.Time
	// sightings are the crashes seen, oldest first; the leader has been told of the first reported ones.
	sightings []quarantine.Crash
	reported  int
	// prunedAt is when the record was last pruned.
	prunedAt time.Time
	// cancels end the transactions that have not begun to answer.
	cancels map[*transaction]context.CancelFunc
}

func newCrashRecord() crashRecord {
	return crashRecord{answeredAt: map[uint64]time.Time{}, reportedAt: map[uint64]time.Time{}, cancels: map[*transaction]context.CancelFunc{}}
}

// pendingCrash is an attempt that broke off, possibly because its endpoint crashed.
type pendingCrash struct {
	quarantine.Crash
	address string
}

// unanswered returns those of the parts that have had no answer recently.
func (r *crashRecord) unanswered(parts []uint64, now time.Time) []uint64 {
	return slices.DeleteFunc(slices.Clone(parts), func(part uint64) bool { return now.Sub(r.answeredAt[part]) < quarantine.AnswerTTL })
}

// addSighting adds a crash.
func (r *crashRecord) addSighting(c quarantine.Crash) {
	if len(r.sightings) >= maxSightings {
		r.sightings, r.reported = slices.Clone(r.sightings[1:]), max(0, r.reported-1)
	}
	r.sightings = append(r.sightings, c)
}

// prune drops what is too old to matter, every pruneInterval.
func (r *crashRecord) prune(now time.Time) {
	if now.Sub(r.prunedAt) < pruneInterval {
		return
	}
	r.prunedAt = now
	for part, at := range r.answeredAt {
		if now.Sub(at) > quarantine.AnswerTTL {
			delete(r.answeredAt, part)
			delete(r.reportedAt, part)
		}
	}
	old := 0
	for old < len(r.sightings) && now.Sub(r.sightings[old].At) > sightingTTL {
		old++
	}
	r.sightings, r.reported = slices.Clone(r.sightings[old:]), max(0, r.reported-old)
}

// dueAnswers returns the parts that the leader asks about and has not been told about lately.
func (r *crashRecord) dueAnswers(now time.Time) []uint64 {
	return slices.DeleteFunc(slices.Clone(r.suspects), func(part uint64) bool {
		at, answered := r.answeredAt[part]
		return !answered || now.Sub(at) > quarantine.AnswerTTL || !at.After(r.reportedAt[part]) || now.Sub(r.reportedAt[part]) < answerInterval
	})
}

// fillReport adds what the leader has not been told yet to a report. The result, to be called once the report is on its way, marks it as
// told.
func (r *crashRecord) fillReport(report *wirepb.DemandReport, now time.Time) (told func()) {
	for _, c := range r.sightings[r.reported:] {
		report.Crashes = append(report.Crashes, &wirepb.EndpointCrash{
			Endpoint: c.Endpoint.ID, BornMs: c.Endpoint.StartMS, Request: c.Request, Parts: c.Parts, Began: c.Began,
			AgeMs: milliseconds(now.Sub(c.At)), RanMs: milliseconds(c.At.Sub(c.SentAt)), Key: c.Key, Service: c.Service,
		})
	}
	answers := r.dueAnswers(now)
	for _, part := range answers {
		report.Answers = append(report.Answers, &wirepb.PartAnswer{Part: part, AgeMs: milliseconds(now.Sub(r.answeredAt[part]))})
	}
	return func() {
		r.reported = len(r.sightings)
		for _, part := range answers {
			r.reportedAt[part] = now
		}
	}
}

// forgetLeader makes the next report contain everything again.
func (r *crashRecord) forgetLeader() {
	r.reported, r.suspects = 0, nil
	clear(r.reportedAt)
}

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

// recordAnswer records that the request was answered, which speaks for it and for the parts of its prompt.
func (t *transaction) recordAnswer() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, part := range t.request.SharedParts {
		t.crashes.answeredAt[part] = now
	}
	t.crashes.recordKeyAnswer(t.request.Key, now)
	if len(t.crashes.dueAnswers(now)) > 0 {
		t.wakeReport()
	}
}

// recordKeyAnswer records that a request with the key was answered. While there are too many, only those that the leader asks about are.
func (r *crashRecord) recordKeyAnswer(key uint64, now time.Time) {
	if _, known := r.answeredAt[key]; known || len(r.answeredAt) < maxAnswers || slices.Contains(r.suspects, key) {
		r.answeredAt[key] = now
	}
}

// recordBreak hands an attempt that its endpoint broke off to runCrashChecks.
func (t *transaction) recordBreak(c choice) {
	t.mu.Lock()
	parts := t.crashes.unanswered(t.request.SharedParts, time.Now())
	t.mu.Unlock()
	pending := pendingCrash{
		Crash: quarantine.Crash{
			Endpoint: c.state.Incarnation(), Service: c.state.Service, Request: t.request.ID, Parts: parts, SentAt: t.sentAt, At: time.Now(), Began: t.begun && t.attemptEvents == 0,
		},
		address: c.state.Address,
	}
	if t.attemptEvents == 0 {
		pending.Key = t.request.Key
	}
	select {
	case t.pendingCrashes <- pending:
	default:
		t.count(metricDroppedCrashes)
	}
}

// runCrashChecks finds out which broken attempts are due to a crash of their endpoint, until the context ends. The returned channel is
// closed then.
func (g *Gateway) runCrashChecks(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		stopped, running := map[endpoint.Incarnation]time.Time{}, map[endpoint.Incarnation]time.Time{}
		for {
			select {
			case <-ctx.Done():
				return
			case pending := <-g.pendingCrashes:
				i := pending.Endpoint
				_, known := stopped[i]
				if !known && time.Since(running[i]) > stopCheckTTL {
					if g.checkStopped(ctx, pending.address) {
						stopped[i] = time.Now()
					} else {
						running[i] = time.Now()
					}
				}
				// Of the requests that cannot be blamed, one is enough to report the crash.
				if _, crashed := stopped[i]; crashed && (len(pending.Parts) > 0 || pending.Key != 0 || !known) {
					g.recordCrash(pending.Crash)
				}
				forgetBefore(stopped, time.Now().Add(-sightingTTL))
				forgetBefore(running, time.Now().Add(-stopCheckTTL))
			}
		}
	}()
	return ended
}

func forgetBefore(known map[endpoint.Incarnation]time.Time, limit time.Time) {
	for i, at := range known {
		if at.Before(limit) {
			delete(known, i)
		}
	}
}

// checkStopped reports whether nothing listens at an endpoint's address. A crashing process may close its connections first.
func (g *Gateway) checkStopped(ctx context.Context, address string) bool {
	if g.hasStopped(ctx, address) {
		return true
	}
	select {
	case <-time.After(stopCheckDelay):
	case <-ctx.Done():
		return false
	}
	return g.hasStopped(ctx, address)
}

func (g *Gateway) recordCrash(c quarantine.Crash) {
	g.count(metricCrashes)
	g.log.Info("endpoint crashed during a request", "id", c.Request, "key", formatKey(c.Key), "endpoint", c.Endpoint.ID, "startMs", c.Endpoint.StartMS, "begun", c.Began,
		"unansweredParts", formatParts(c.Parts), "ms", c.At.Sub(c.SentAt).Milliseconds())
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.addSighting(c)
	g.wakeReport()
}

// wakeReport triggers a demand report to the leader without waiting for the next interval.
func (g *Gateway) wakeReport() {
	select {
	case g.reportDemandNow <- struct{}{}:
	default:
	}
}

// applyQuarantineLocked applies the quarantine and the suspects in a steward's snapshot. A leader's table always counts: the revisions
// start again after a loss of all stewards' disks.
func (g *Gateway) applyQuarantineLocked(s *wirepb.Snapshot) {
	if s.GetLeads() && s.GetHasSuspects() {
		g.crashes.suspects = s.GetSuspects()
		if len(g.crashes.dueAnswers(time.Now())) > 0 {
			g.wakeReport()
		}
	}
	if s.GetQuarantine() == nil {
		return
	}
	table := quarantine.FromWire(s.GetQuarantine())
	known := g.crashes.table.Revision
	if table.Revision == known || table.Revision < known && (!s.GetLeads() || !s.GetProven()) {
		return
	}
	g.crashes.table = table
	g.crashes.trials.Update(table, time.Now())
	g.log.Info("quarantine in force", "revision", table.Revision, "active", table.Active(), "entries", len(table.Entries), "requests", len(table.Requests))
	for t, cancel := range g.crashes.cancels {
		if table.Blocks(t.request.SharedParts) || table.BlocksRequest(t.request.Key) {
			t.quarantined.Store(true)
			cancel()
		}
	}
}

// protectFromQuarantine lets a stream that has begun go on: its prompt has not crashed the endpoint.
func (t *transaction) protectFromQuarantine() {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.crashes.cancels, t)
}

// takeTrial asks the leader whether this attempt may find out if a quarantined request still crashes endpoints, once that is due.
func (t *transaction) takeTrial(ctx context.Context) bool {
	now, key := time.Now(), t.request.Key
	t.mu.Lock()
	leader, due := t.currentLeader, t.crashes.table.BlocksRequest(key) && t.crashes.trials.Wait(key, now) == 0
	if due {
		t.crashes.trials.Postpone(key, now.Add(trialBackoff))
	}
	t.mu.Unlock()
	if !due || leader == "" {
		return false
	}
	reply, err := t.askTrial(ctx, leader, &wirepb.TrialRequest{Key: key})
	t.log.Info("trial of a quarantined request", "id", t.request.ID, "key", formatKey(key), "granted", reply.GetGranted(), "answer", reply.GetError(), "error", logging.ErrorText(err))
	if reply.GetGranted() {
		t.count(metricTrials)
	}
	return reply.GetGranted()
}

// callForTrial asks a steward for a trial.
func (g *Gateway) callForTrial(ctx context.Context, leader string, request *wirepb.TrialRequest) (*wirepb.TurnReply, error) {
	reply, err := g.pool.Call(ctx, leader, &wirepb.Frame{Body: &wirepb.Frame_TrialRequest{TrialRequest: request}}, turnTimeout)
	return reply.GetTurnReply(), err
}

// maxAttempts returns how many endpoints may run the request.
func (t *transaction) maxAttempts() int {
	if t.trial {
		return 1
	}
	return t.route.MaxAttempts
}

// quarantineRefusalLocked returns why the quarantine does not let the request through and when its client may return, or "".
func (t *transaction) quarantineRefusalLocked() (reason string, after time.Duration) {
	switch {
	case !t.trial && t.crashes.table.BlocksRequest(t.request.Key):
		return quarantinedRequestReason, max(t.crashes.trials.Wait(t.request.Key, time.Now()), trialRetryAfter)
	case t.crashes.table.Blocks(t.request.SharedParts):
		return quarantinedReason, quarantine.Duration
	}
	return "", 0
}

// formatKey returns a request's key in hexadecimal.
func formatKey(key uint64) string { return strconv.FormatUint(key, 16) }

// formatParts returns the IDs of a prompt's parts as clients write them, separated by commas.
func formatParts(parts []uint64) string {
	var text []string
	for _, part := range parts {
		text = append(text, strconv.FormatUint(part, 16))
	}
	return strings.Join(text, ",")
}
