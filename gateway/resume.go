package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"burdocksaddle/stream"
	"burdocksaddle/wirepb"
)

const (
	// maxStarts limits the streams whose start a gateway remembers, maxStartsPerFrame those that it tells a steward at a time.
	maxStarts         = 8192
	maxStartsPerFrame = 1024
	// originTimeout bounds the stewards' answers to where a stream began.
	originTimeout = 300 * time.Millisecond
	// originRetryAfter is the Retry-After value if it isn't known where a stream began; the gateway that began it may not have told the
	// stewards yet.
	originRetryAfter = 250 * time.Millisecond
	// unknownStreamReason is the reason of refusals of streams whose start is unknown.
	unknownStreamReason = "it is not known where its stream began"
)

// resumption is what a gateway knows of where streams began. It is guarded by the gateway's mutex.
type resumption struct {
	starts   *stream.Starts
	versions stream.Versions
	// sent is the number of the next start to tell each connected steward.
	sent map[string]uint64
	// since is when this gateway began to record versions.
	since time.Time
}

func newResumption() resumption {
	return resumption{starts: stream.NewStarts(maxStarts), sent: map[string]uint64{}, since: time.Now()}
}

// recordOrigin records where the stream began. Others need to know only if a client may take it up.
func (t *transaction) recordOrigin(c choice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.origin != nil {
		return
	}
	t.origin = &stream.Origin{Service: t.service, Software: c.state.Software}
	if t.route.Resumable && t.request.ID != "" {
		t.resumption.starts.Record(stream.Start{ID: t.streamID(t.request.ID), Origin: *t.origin}, time.Now())
	}
}

// reportStarts tells all stewards where streams began, as far as their services run several software versions: another gateway may need to
// know, also if this one has ended by then.
func (g *Gateway) reportStarts() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now, several := time.Now(), map[string]bool{}
	for _, state := range g.endpoints {
		if _, checked := several[state.Service]; !checked {
			several[state.Service] = len(g.resumption.versions.Of(state.Service, now)) > 1
		}
	}
	if !slices.Contains(slices.Collect(maps.Values(several)), true) {
		return
	}
	for steward, next := range g.resumption.sent {
		starts, next := g.resumption.starts.After(next, maxStartsPerFrame)
		starts = slices.DeleteFunc(starts, func(s stream.Start) bool { return !several[s.Origin.Service] })
		if len(starts) == 0 || g.tellStarts(steward, encodeStarts(starts)) {
			g.resumption.sent[steward] = next
		}
	}
}

// encodeStarts groups starts by their origin.
func encodeStarts(starts []stream.Start) *wirepb.StreamStarts {
	groups := map[stream.Origin]*wirepb.StreamGroup{}
	message := &wirepb.StreamStarts{}
	for _, s := range starts {
		group := groups[s.Origin]
		if group == nil {
			group = &wirepb.StreamGroup{Service: s.Origin.Service, Software: s.Origin.Software}
			groups[s.Origin] = group
			message.Groups = append(message.Groups, group)
		}
		group.Streams = append(group.Streams, s.ID)
	}
	return message
}

// findOrigin finds out where the stream that the request takes up began. If that isn't known, or its service is no longer that of the
// route, it refuses the request and returns false.
func (t *transaction) findOrigin(ctx context.Context) bool {
	id := t.streamID(t.request.Resumes)
	t.mu.Lock()
	now := time.Now()
	origin, known := t.resumption.starts.Find(id, now)
	versions := t.resumption.versions.Of(t.service, now)
	// A gateway with an old view may not have heard of another version.
	onlyVersion := len(versions) == 1 && now.Sub(t.endpointsUpdatedAt) <= 2*maxEndpointsAge
	noOther := now.Sub(t.resumption.since) > stream.TTL
	t.mu.Unlock()
	if !known && (!onlyVersion || !noOther) {
		origin, known, noOther = t.askOrigins(ctx, t.stewardLinks.Stewards(), id)
	}
	if !known && onlyVersion && noOther {
		origin, known = stream.Origin{Service: t.service, Software: versions[0]}, true
	}
	switch {
	case !known:
		t.giveUp(unknownStreamReason, withJitter(originRetryAfter))
		return false
	case origin.Service != t.service && !t.route.Serves(origin.Service):
		t.giveUp("the service that began its stream is not in its route any more", defaultRetryAfter)
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.origin, t.service = &origin, origin.Service
	return true
}

// askOrigins asks stewards where a stream began. unused is set if a steward has answered and no steward knows of any start in the service,
// as gateways tell them only while it runs several software versions.
func (t *transaction) askOrigins(ctx context.Context, stewards []string, id uint64) (origin stream.Origin, known, unused bool) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
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
	answered, used := 0, false
	for range stewards {
		reply := <-replies
		if reply == nil {
			continue
		}
		answered++
		used = used || reply.GetUsed()
		if reply.GetKnown() && !known {
			origin, known = stream.Origin{Service: reply.GetService(), Software: reply.GetSoftware()}, true
			cancel() // the others need not answer
		}
	}
	t.log.Info("asked where a stream began", "id", t.request.ID, "resumes", t.request.Resumes, "stewards", len(stewards), "answers", answered,
		"known", known, "service", origin.Service, "software", origin.Software, "used", used)
	return origin, known, answered > 0 && !used
}

// sendStarts queues starts of streams for a steward and reports whether it did.
func (g *Gateway) sendStarts(steward string, starts *wirepb.StreamStarts) bool {
	return g.stewardLinks.Send(steward, &wirepb.Frame{Body: &wirepb.Frame_StreamStarts{StreamStarts: starts}})
}

// callForOrigin asks a steward where a stream began.
func (g *Gateway) callForOrigin(ctx context.Context, steward string, query *wirepb.OriginQuery) (*wirepb.OriginReply, error) {
	reply, err := g.pool.Call(ctx, steward, &wirepb.Frame{Body: &wirepb.Frame_OriginQuery{OriginQuery: query}}, originTimeout)
	return reply.GetOriginReply(), err
}
