package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/wirepb"
)

const (
	// paceInterval is the minimum time between two reports of the endpoints' pace.
	paceInterval = time.Second
	// minPaceGaps is the number of observed gaps from which the pace of a model at an endpoint is reported.
	minPaceGaps = 8
	// maxReportedPaces limits a report to about 700 bytes. Paces with more gaps are reported first, the others later.
	maxReportedPaces = 16
	// maxPaceGaps is the number of gaps kept for each model at an endpoint between two reports.
	maxPaceGaps = 64
	// maxPaces is the number of models at endpoints that are observed between two reports.
	maxPaces = 4096
	// gapBatch is the number of gaps that a stream collects before it records them.
	gapBatch = 8
	// maxWriteTime is the time that the client may take to accept an event for the next gap to count: while a client reads slowly, events
	// are read late.
	maxWriteTime = 5 * time.Millisecond
)

// paceKey identifies a model at one run of an endpoint.
type paceKey struct {
	endpoint.Incarnation
	model string
}

// observedPace is what this gateway has observed of the streams of a model at an endpoint since it last reported it.
type observedPace struct {
	streams, events int
	sum             time.Duration
	gaps            []time.Duration
}

// streamPace collects the gaps of one attempt's stream.
type streamPace struct {
	gaps []time.Duration
	// counted is set once the stream has been counted.
	counted bool
	// receivedAt is when the previous event arrived, slowWrite is set if writing it took too long.
	receivedAt time.Time
	slowWrite  bool
}

// recordEvent records the arrival of an event.
func (t *transaction) recordEvent(c choice, p *streamPace, now time.Time) {
	if !p.receivedAt.IsZero() && !p.slowWrite {
		p.gaps = append(p.gaps, now.Sub(p.receivedAt))
		if c.byWork {
			t.mu.Lock()
			t.router.RecordGap(c.endpoint.Name, now.Sub(p.receivedAt), now)
			t.mu.Unlock()
		}
	}
	p.receivedAt = now
	if len(p.gaps) >= gapBatch {
		t.recordPace(c, p)
	}
}

// recordWritten records that the last event has been written to the client.
func (p *streamPace) recordWritten(now time.Time) {
	p.slowWrite = now.Sub(p.receivedAt) > maxWriteTime
}

// recordPace adds the collected gaps to what is reported to the leader.
func (t *transaction) recordPace(c choice, p *streamPace) {
	if len(p.gaps) == 0 || t.request.Model == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := paceKey{c.state.Incarnation(), t.request.Model}
	observed := t.paces[key]
	if observed == nil {
		if len(t.paces) >= maxPaces {
			return
		}
		observed = &observedPace{}
		t.paces[key] = observed
	}
	if !p.counted {
		observed.streams++
		p.counted = true
	}
	for _, gap := range p.gaps {
		if len(observed.gaps) < maxPaceGaps {
			observed.gaps = append(observed.gaps, gap)
		} else {
			observed.gaps[observed.events%maxPaceGaps] = gap
		}
		observed.events++
		observed.sum += gap
	}
	p.gaps = p.gaps[:0]
}

// pacesLocked returns the paces to report now and the keys to remove once the report has been sent.
func (g *Gateway) pacesLocked(now time.Time) (report []*wirepb.EndpointPace, reported []paceKey) {
	if now.Before(g.nextPaceReport) {
		return nil, nil
	}
	maps.DeleteFunc(g.paces, func(key paceKey, _ *observedPace) bool {
		state, known := g.endpoints[key.ID]
		return !known || state.Incarnation() != key.Incarnation
	})
	for key, observed := range g.paces {
		if observed.events >= minPaceGaps {
			reported = append(reported, key)
		}
	}
	slices.SortFunc(reported, func(a, b paceKey) int {
		return cmp.Or(cmp.Compare(g.paces[b].events, g.paces[a].events), cmp.Compare(a.ID, b.ID), cmp.Compare(a.model, b.model))
	})
	reported = reported[:min(len(reported), maxReportedPaces)]
	for _, key := range reported {
		observed := g.paces[key]
		gaps := slices.Sorted(slices.Values(observed.gaps))
		report = append(report, &wirepb.EndpointPace{
			Id: key.ID, BornMs: key.StartMS, Model: key.model, Streams: uint32(max(observed.streams, 1)), Events: uint32(observed.events),
			GapMs: float64(observed.sum.Milliseconds()), LowerGapUs: uint32(min(gaps[len(gaps)/4], time.Hour).Microseconds()),
		})
	}
	return report, reported
}

// speedsChangedLocked records for which services the choice of endpoints is by work, after a change of the known endpoints.
func (g *Gateway) speedsChangedLocked() {
	services := map[string]bool{}
	for _, state := range g.endpoints {
		if state.Speed > 0 {
			services[state.Service] = true
		}
	}
	for service := range services {
		if !g.speedServices[service] {
			g.log.Info("choosing endpoints by work", "service", service)
		}
	}
	for service := range g.speedServices {
		if !services[service] {
			g.log.Info("choosing endpoints by slots", "service", service)
		}
	}
	g.speedServices = services
}

// recordSentLocked records the prompt tokens that a request adds to an endpoint of a service with known speeds.
func (t *transaction) recordSentLocked(c choice, now time.Time) {
	if !c.byWork {
		return
	}
	t.count(metricChoicesByWork)
	t.work, t.workPending = t.router.RecordWork(c.endpoint, c.query, now), true
}

func (t *transaction) recordPrefilled() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordPrefilledLocked()
}

// recordPrefilledLocked records that the endpoint has prefilled the prompt, or no longer will.
func (t *transaction) recordPrefilledLocked() {
	if t.workPending {
		t.router.RecordPrefilled(t.work)
		t.workPending = false
	}
}
