package steward

import (
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/pace"
	"burdocksaddle/wirepb"
)

const (
	// maxPendingPaces limits the reported paces between two ticks of the leader.
	maxPendingPaces = 1 << 14
)

// updateSpeeds estimates the speeds of the endpoints from what gateways reported, and passes them to the planner.
func (l *leader) updateSpeeds(now time.Time) {
	l.mu.Lock()
	paces := l.paces
	l.paces = nil
	l.mu.Unlock()
	for _, p := range paces {
		l.speeds.Record(sampleOf(p), now)
	}
	l.metrics.GetOrCreateCounter(metricPaces).Add(len(paces))
	changed := l.speeds.Update(l.planner.Incarnations(), now)
	for _, service := range changed {
		l.log.Info("publication of endpoint speeds changed", "service", service, "spread", l.speeds.Spread(service))
	}
	l.planner.SetSpeeds(func(i endpoint.Incarnation) float64 {
		speed := l.speeds.Speed(i)
		if known, ok := l.planner.Endpoint(i.ID); ok && known.Speed != speed {
			l.log.Info("endpoint speed changed", "endpoint", i.ID, "startMs", i.StartMS, "from", known.Speed, "to", speed)
			l.metrics.GetOrCreateCounter(metricSpeedChanges).Inc()
		}
		return speed
	})
}

// sampleOf converts a reported pace. The lower quartile of the gaps is preferred to their mean.
func sampleOf(p *wirepb.EndpointPace) pace.Sample {
	s := pace.Sample{Incarnation: endpoint.Incarnation{ID: p.GetId(), StartMS: p.GetBornMs()}, Model: p.GetModel(), Streams: int(min(p.GetStreams(), 1<<20))}
	if p.GetLowerGapUs() > 0 {
		s.Gap = time.Duration(p.GetLowerGapUs()) * time.Microsecond
	} else if ms := p.GetGapMs(); p.GetEvents() > 0 && ms > 0 && ms < float64(time.Hour.Milliseconds()) {
		s.Gap = time.Duration(ms / float64(p.GetEvents()) * float64(time.Millisecond))
	}
	return s
}
