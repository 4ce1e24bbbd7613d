package gateway

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/stream"
	"burdocksaddle/wirepb"
)

const (
	// maxStarts limits the streams whose start a gateway remembers, maxStartsPerFrame those that it tells a steward at a time.
	maxStarts         = 8192
	maxStartsPerFrame = 1024
	// startWriteTimeout limits how long the first event of a stream is held back until its start has been written to the connections of
	// all stewards. It is far below the time to a first event; a steward that does not read may use it up.
	startWriteTimeout = 20 * time.Millisecond
	// originTimeout bounds the stewards' answers to where a stream began. While none has proven the committed software versions, as during an
	// election, the wait goes on up to originProofTimeout if the gateway is in touch with a steward.
	originTimeout      = 300 * time.Millisecond
	originProofTimeout = 1200 * time.Millisecond
	// maxStewardSilence is how long ago a gateway in touch with a steward heard from it: heartbeatInterval of package steward and a margin.
	maxStewardSilence = 700 * time.Millisecond
	// originRetryAfter is the Retry-After value if a steward did not say where a stream began; it may be about to answer again.
	originRetryAfter = 250 * time.Millisecond
	// uncommittedVersionDelay is how long a gateway without a leader leaves the endpoints of a version alone that its list shows for the first
	// time: a leader that others hear of reads the list twice a second and commits a change in less than a second.
	uncommittedVersionDelay = 2 * time.Second
	// maxViewDelay is how long a stream that began elsewhere at a version which this gateway has not seen waits for an endpoint of it: the
	// leader publishes changes at once, and all of its view several times a second.
	maxViewDelay = 300 * time.Millisecond
	// unknownStreamReason is the reason of refusals of streams whose start is unknown.
	unknownStreamReason = "it is not known where its stream began"
	// drainMargin is the end of DrainTime in which a draining endpoint takes up no streams, for the time that the leader's message and the
	// request may be under way.
	drainMargin = 300 * time.Millisecond
	// resumedLoadDelay is the time from the report of a waiting resumed stream to the load order, plus the time until gateways see the model.
	resumedLoadDelay = 300 * time.Millisecond
)

// resumption is what a gateway knows of where streams began. It is guarded by the gateway's mutex.
type resumption struct {
	starts   *stream.Starts
	versions stream.Versions
	// committed are the services with several committed software versions, by the connected steward that said so.
	committed map[string]stream.Software
	// listedSince are the versions that only the platform's list has shown since a leader was heard of, with the time when it first did.
	listedSince map[stream.Origin]time.Time
	// reported are the services whose starts are reported to stewards.
	reported map[string]bool
	// receivers are the connected stewards, heardAt is when the last snapshot came from one.
	receivers map[string]*startReceiver
	heardAt   time.Time
	// waiting counts the resumed streams that wait for an endpoint of their version that holds their model.
	waiting map[resumedNeed]int
	// missing counts those for which no endpoint of their version holds their model, missed those refused for that since the last report.
	missing, missed map[resumedNeed]int
}

// resumedNeed is what an endpoint must run and hold for a resumed stream.
type resumedNeed struct {
	stream.Origin
	model string
}

// startReceiver is a steward that is told of starts.
type startReceiver struct {
	// next is the number of the next start to tell it.
	next uint64
	// written is closed once the last message to it has been written to its connection.
	written <-chan struct{}
	// flush is a semaphore that admits one write at a time, so that the starts that wait for it are written together.
	flush chan struct{}
}

func newStartReceiver() *startReceiver {
	written := make(chan struct{})
	close(written)
	return &startReceiver{written: written, flush: make(chan struct{}, 1)}
}

func newResumption() resumption {
	return resumption{
		starts: stream.NewStarts(maxStarts), committed: map[string]stream.Software{}, reported: map[string]bool{}, receivers: map[string]*startReceiver{},
		waiting: map[resumedNeed]int{}, missing: map[resumedNeed]int{}, missed: map[resumedNeed]int{},
	}
}

// resumedWait is what a resumed stream waits for while its service runs several software versions.
type resumedWait int

const (
	resumedWaitNone resumedWait = iota
	// resumedWaitSlot is the wait for an endpoint that holds the model.
	resumedWaitSlot
	// resumedWaitModel is the wait until an endpoint of the version holds the model.
	resumedWaitModel
)

// setResumedWaitLocked records what this transaction waits for, if it is a resumed stream.
func (t *transaction) setResumedWaitLocked(wait resumedWait, now time.Time) {
	if t.origin == nil || !t.severalVersionsLocked(t.service, now) {
		wait = resumedWaitNone
	}
	if wait == t.resumedWait {
		return
	}
	need := resumedNeed{*t.origin, t.request.Model}
	counts := map[resumedWait]map[resumedNeed]int{resumedWaitSlot: t.resumption.waiting, resumedWaitModel: t.resumption.missing}
	if before := counts[t.resumedWait]; before != nil {
		if before[need]--; before[need] == 0 {
			delete(before, need)
		}
	}
	if after := counts[wait]; after != nil {
		after[need]++
	}
	t.resumedWait, t.resumedWaitSince = wait, now
}

// resumedLoadTimeLocked returns the time until a model that a resumed stream waits for can serve at an endpoint of its version. Until the
// leader has been told of the stream, it is assumed to find a local copy there.
func (t *transaction) resumedLoadTimeLocked(now time.Time) time.Duration {
	if expected, ok := t.leaderView.ExpectedTime(endpoint.Absent{Model: t.request.Model, Software: t.origin.Software}, now); ok {
		return max(expected, time.Millisecond)
	}
	service, ok := t.table.Service(t.service)
	if !ok || service.Engine == nil {
		return 0
	}
	m, ok := service.Engine.Model(t.request.Model)
	if !ok {
		return 0
	}
	return max(m.DiskLoadTime+resumedLoadDelay-now.Sub(t.resumedWaitSince), time.Millisecond)
}

// resumingLocked returns the versions at which resumed streams want a model, for the leader.
func (r *resumption) resumingLocked(service, model string) []*wirepb.ResumingDemand {
	needs := maps.Clone(r.missing)
	for need := range r.missed {
		needs[need] += 0
	}
	var resuming []*wirepb.ResumingDemand
	for need, waiting := range needs {
		if need.Service == service && need.model == model {
			resuming = append(resuming, &wirepb.ResumingDemand{Software: need.Software, Waiting: uint32(waiting), Missed: uint32(r.missed[need])})
		}
	}
	slices.SortFunc(resuming, func(a, b *wirepb.ResumingDemand) int { return strings.Compare(a.GetSoftware(), b.GetSoftware()) })
	return resuming
}

// neededLocked reports whether resumed streams wait for this endpoint.
func (r *resumption) neededLocked(state endpoint.State) bool {
	for need := range r.waiting {
		if need.Service == state.Service && need.Software == state.Software && (need.model == "" || state.Holds(need.model)) {
			return true
		}
	}
	return false
}

// recordOrigin records where the stream began, and reports whether the stewards must know it before the first event is forwarded. They need
// to know only if a client may resume the stream while its service runs several versions.
func (t *transaction) recordOrigin(c choice) (report bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.origin != nil {
		return false
	}
	t.origin = &stream.Origin{Service: t.service, Software: c.state.Software}
	if !t.route.Resumable || t.request.ID == "" {
		return false
	}
	now := time.Now()
	t.resumption.starts.Record(stream.Start{ID: t.streamID(t.request.ID), Origin: *t.origin, Model: t.request.Model}, now)
	return t.severalVersionsLocked(t.service, now)
}

// flushStarts returns once the recorded starts have been written to the connections of all stewards, or after startWriteTimeout: another
// gateway may need to know them even if this one is killed right after the first event. A steward that does not read delays no other.
func (g *Gateway) flushStarts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, startWriteTimeout)
	defer cancel()
	g.mu.Lock()
	receivers := maps.Clone(g.resumption.receivers)
	g.updateReportedLocked(time.Now())
	g.mu.Unlock()
	done := make(chan bool, len(receivers))
	for steward, r := range receivers {
		go func() { done <- g.flushStartsTo(ctx, steward, r) }()
	}
	late := false
	for range receivers {
		late = !<-done || late
	}
	if late {
		g.count(metricLateStarts)
	}
}

// flushStartsTo reports whether the recorded starts were written to a steward's connection before the context ended.
func (g *Gateway) flushStartsTo(ctx context.Context, steward string, r *startReceiver) bool {
	select {
	case r.flush <- struct{}{}:
		defer func() { <-r.flush }()
	case <-ctx.Done():
		return false
	}
	g.mu.Lock()
	sent := g.reportStartsToLocked(steward, r)
	written := r.written
	g.mu.Unlock()
	if !sent {
		return false
	}
	select {
	case <-written:
		return true
	case <-ctx.Done():
		return false
	}
}

// reportStarts tells all stewards where streams began, as far as their services run several software versions.
func (g *Gateway) reportStarts() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.updateReportedLocked(time.Now()) {
		return
	}
	for steward, r := range g.resumption.receivers {
		g.reportStartsToLocked(steward, r)
	}
}

// reportStartsToLocked queues the starts that a steward has not been told, and reports whether it did.
func (g *Gateway) reportStartsToLocked(steward string, r *startReceiver) bool {
	starts, next := g.resumption.starts.After(r.next, maxStartsPerFrame)
	starts = slices.DeleteFunc(starts, func(s stream.Start) bool { return !g.resumption.reported[s.Origin.Service] })
	if len(starts) > 0 {
		written, sent := g.tellStarts(steward, encodeStarts(starts))
		if !sent {
			return false
		}
		r.written = written
	}
	r.next = next
	return true
}

// updateReportedLocked updates the services whose starts are reported, and reports whether there are any. All starts are sent again if a
// service is added, since those of that service have been left out so far.
func (g *Gateway) updateReportedLocked(now time.Time) bool {
	reported := map[string]bool{}
	for _, service := range g.resumption.versions.Services() {
		if g.severalVersionsLocked(service, now) {
			reported[service] = true
		}
	}
	for service := range reported {
		if !g.resumption.reported[service] {
			for _, r := range g.resumption.receivers {
				r.next = 0
			}
		}
	}
	g.resumption.reported = reported
	return len(reported) > 0
}

// encodeStarts groups starts by their origin and model.
func encodeStarts(starts []stream.Start) *wirepb.StreamStarts {
	type key struct {
		stream.Origin
		model string
	}
	groups := map[key]*wirepb.StreamGroup{}
	message := &wirepb.StreamStarts{}
	for _, s := range starts {
		group := groups[key{s.Origin, s.Model}]
		if group == nil {
			group = &wirepb.StreamGroup{Service: s.Origin.Service, Software: s.Origin.Software, Model: s.Model}
			groups[key{s.Origin, s.Model}] = group
			message.Groups = append(message.Groups, group)
		}
		group.Streams = append(group.Streams, s.ID)
	}
	return message
}

// How the origin of a resumed stream was found, in metrics.
const (
	originHere        = "Here"
	originAtSteward   = "Steward"
	originOnlyVersion = "OnlyVersion"
	originUnknown     = "Unknown"
)

// findOrigin finds out where the stream that the request resumes began. If that isn't known, or its service is no longer that of the
// route, it refuses the request and returns false.
func (t *transaction) findOrigin(ctx context.Context) bool {
	id := t.streamID(t.request.Resumes)
	t.mu.Lock()
	origin, known := t.resumption.starts.Find(id, time.Now())
	t.mu.Unlock()
	source, answers := originHere, originAnswers{}
	if !known {
		source = originAtSteward
		answers = t.askOrigins(ctx, t.stewardLinks.Stewards(), id)
		origin, known = answers.origin, answers.known
	}
	if !known {
		if origin, known = t.onlyOrigin(answers); known {
			source = originOnlyVersion
		} else {
			source = originUnknown
		}
	}
	t.count(fmt.Sprintf("%s{origin=%q}", metricOrigins, source))
	switch {
	case !known:
		t.giveUp(unknownStreamReason, withJitter(answers.retryAfter()))
		return false
	case origin.Service != t.service && !t.route.Serves(origin.Service):
		t.giveUp("the service that began its stream is not in its route any more", defaultRetryAfter)
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.origin, t.service = &origin, origin.Service
	now := time.Now()
	if source == originAtSteward && origin.Software != "" && !slices.Contains(t.resumption.versions.Of(origin.Service, now), origin.Software) {
		t.viewDue = now.Add(maxViewDelay)
	}
	return true
}

// onlyOrigin returns the only version at which a stream of unknown start can have begun: a steward must prove that the log names it alone,
// and neither another steward nor this gateway may know of a further one. A gateway with an old view may not have heard of it.
func (t *transaction) onlyOrigin(answers originAnswers) (origin stream.Origin, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	versions := t.resumption.versions.Of(t.service, now)
	if !answers.proven || len(versions) != 1 || !slices.Equal(versions, answers.versions) || now.Sub(t.endpointsUpdatedAt) > 2*maxEndpointsAge {
		return stream.Origin{}, false
	}
	if t.severalVersionsLocked(t.service, now) {
		return stream.Origin{}, false
	}
	return stream.Origin{Service: t.service, Software: versions[0]}, true
}

// originAnswers is what stewards answered to where a stream began.
type originAnswers struct {
	origin stream.Origin
	known  bool
	// versions are the committed versions that any steward named, sorted; proven is set if one named all that were committed before the query.
	versions []string
	proven   bool
	// asked and answered count the stewards.
	asked, answered int
}

// add adds a steward's answer.
func (a *originAnswers) add(reply *wirepb.OriginReply) {
	a.answered++
	a.proven = a.proven || reply.GetProven()
	a.versions = append(a.versions, reply.GetVersions()...)
	slices.Sort(a.versions)
	a.versions = slices.Compact(a.versions)
	if reply.GetKnown() && !a.known {
		a.origin, a.known = stream.Origin{Service: reply.GetService(), Software: reply.GetSoftware()}, true
	}
}

// retryAfter returns when a client whose stream's start is unknown may return. If all stewards have answered, they don't learn it any more.
func (a *originAnswers) retryAfter() time.Duration {
	if a.answered > 0 && a.answered == a.asked && a.proven {
		return versionRetryAfter
	}
	return originRetryAfter
}

// askOrigins asks stewards where a stream began.
func (t *transaction) askOrigins(ctx context.Context, stewards []string, id uint64) originAnswers {
	ctx, cancel := context.WithTimeout(ctx, originProofTimeout)
	defer cancel()
	replies := make(chan *wirepb.OriginReply, len(stewards))
	query := &wirepb.OriginQuery{Stream: id, Service: t.service}
	for _, steward := range stewards {
		go func() {
			reply, err := t.askOrigin(ctx, steward, query)
			if err != nil {
				reply = nil
			}
			replies <- reply
		}()
	}
	answers, late, timeout := originAnswers{asked: len(stewards)}, false, time.After(originTimeout)
	for left := len(stewards); left > 0; {
		select {
		case reply := <-replies:
			left--
			if reply != nil {
				answers.add(reply)
			}
		case <-timeout:
			late = true
		}
		if answers.known || late && (answers.proven || !t.inTouch()) {
			cancel() // the others need not answer
		}
	}
	t.log.Info("asked where a stream began", "id", t.request.ID, "resumes", t.request.Resumes, "stewards", answers.asked, "answers", answers.answered,
		"known", answers.known, "service", answers.origin.Service, "software", answers.origin.Software, "versions", answers.versions, "proven", answers.proven)
	return answers
}

// originSoftware returns the software version at which the request's stream began, empty if it has not begun or that is unknown.
func (t *transaction) originSoftware() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.origin == nil {
		return ""
	}
	return t.origin.Software
}

// inTouch reports whether a steward has been heard of lately.
func (g *Gateway) inTouch() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.resumption.heardAt) <= maxStewardSilence
}

// sendStarts queues starts of streams for a steward and reports whether it did. The channel is closed when they have been written.
func (g *Gateway) sendStarts(steward string, starts *wirepb.StreamStarts) (written <-chan struct{}, sent bool) {
	return g.stewardLinks.SendWithReceipt(steward, &wirepb.Frame{Body: &wirepb.Frame_StreamStarts{StreamStarts: starts}})
}

// callForOrigin asks a steward where a stream began.
func (g *Gateway) callForOrigin(ctx context.Context, steward string, query *wirepb.OriginQuery) (*wirepb.OriginReply, error) {
	reply, err := g.pool.Call(ctx, steward, &wirepb.Frame{Body: &wirepb.Frame_OriginQuery{OriginQuery: query}}, originProofTimeout)
	return reply.GetOriginReply(), err
}
