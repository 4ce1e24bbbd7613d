package scaling

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/route"
	"burdocksaddle/stream"
)

// ModelVersion is a model at the endpoints that run one software version.
type ModelVersion struct{ Model, Software string }

// Obstacles count what keeps the endpoints of a software version from loading a model for resumed streams.
type Obstacles struct {
	// Replicas of the model are loaded or being loaded at the version; the other counts are 0 then.
	Replicas int
	// Endpoints run the version. Busy ones can take no order or have a limit, those WithoutCopy would load the model from the store, and at Full
	// ones no replica may yield.
	Endpoints, Busy, WithoutCopy, Full int
}

// Unmet returns the models for which resumed streams wait at a software version without an order of the last Plan, and why there is none.
func (p *Planner) Unmet() map[ModelVersion]Obstacles { return maps.Clone(p.unmet) }

// Software returns the software versions of all endpoints, by service.
func (p *Planner) Software() []stream.Origin {
	var all []stream.Origin
	seen := map[stream.Origin]bool{}
	for _, t := range p.endpoints {
		o := stream.Origin{Service: t.state.Service, Software: t.state.Software}
		if !seen[o] {
			seen[o] = true
			all = append(all, o)
		}
	}
	return all
}

// RecordStarts sets how many streams models have begun lately, by software version. Clients may resume these streams, at that version only.
func (p *Planner) RecordStarts(recent map[ModelVersion]int) { p.recentStarts = recent }

// resumingDemand counts the resumed streams that want a model at a software version: those that wait, and the decaying number of those that
// were told to retry later.
type resumingDemand struct {
	waiting int
	missed  float64
}

// wanted reports whether a replica is worth loading.
func (d resumingDemand) wanted() bool { return d.waiting > 0 || d.missed > minMissed }

// resumingAfter returns the resumed streams after a report.
func (l *modelDemand) resumingAfter(reported []Resuming, now time.Time) map[string]resumingDemand {
	next := map[string]resumingDemand{}
	for software := range l.resuming {
		if missed := l.resumingAt(software, now).missed; missed > minMissed {
			next[software] = resumingDemand{missed: missed}
		}
	}
	for _, r := range reported {
		d := next[r.Software]
		next[r.Software] = resumingDemand{d.waiting + r.Waiting, d.missed + float64(r.Missed)}
	}
	return next
}

// resumingAt returns the resumed streams that want the model at a software version.
func (l *modelDemand) resumingAt(software string, now time.Time) resumingDemand {
	if l == nil {
		return resumingDemand{}
	}
	d := l.resuming[software]
	d.missed *= math.Exp2(-float64(now.Sub(l.updatedAt)) / float64(missedHalfLife))
	return d
}

// resumingNeeds returns the models that resumed streams want at a software version without a replica: from a local copy, or else from the
// store if they outnumber the requests for other models without replicas.
func (p *Planner) resumingNeeds(f *planState) []need {
	var needs []need
	for _, name := range sortedKeys(p.demandByModel) {
		m, ok := f.engine.Model(name)
		if !ok {
			continue
		}
		for _, software := range sortedKeys(p.demandByModel[name].resuming) {
			at := ModelVersion{name, software}
			n, wanted := p.resumingNeed(f, m, software)
			switch replicas := f.replicasAt[at]; {
			case !wanted:
			case replicas > 0:
				p.unmet[at] = Obstacles{Replicas: replicas}
			default:
				needs = append(needs, n)
				n.fromStore = true
				needs = append(needs, n)
			}
		}
	}
	return needs
}

// resumingNeed returns the need of the resumed streams of a model at a software version. A replica there serves all requests for a model that
// has none.
func (p *Planner) resumingNeed(f *planState, m route.Model, software string) (n need, wanted bool) {
	l := p.demandByModel[m.Name]
	d := l.resumingAt(software, f.now)
	n = need{model: m, requestsPerReplica: float64(d.waiting) + d.missed, resuming: true, software: software}
	if f.replicas[m.Name] == 0 {
		n.requestsPerReplica = max(n.requestsPerReplica, l.concurrencyAt(f.now)+l.missedAt(f.now))
	}
	return n, d.wanted()
}

// copyAvailableAt reports whether an endpoint of the version that the need names has a local copy and can load it soon.
func (p *Planner) copyAvailableAt(f *planState, n need) bool {
	return slices.ContainsFunc(f.endpoints, func(t *trackedEndpoint) bool {
		_, ok := p.copyLoadTime(f, t, n)
		return ok
	})
}

// copyLoadTime returns the time until an endpoint of the need's version could serve the model from a local copy.
func (p *Planner) copyLoadTime(f *planState, t *trackedEndpoint, n need) (time.Duration, bool) {
	source := t.sourceOf(n.model.Name)
	if t.state.Software != n.software || source == SourceStore || t.state.Limit.Named || t.unheld {
		return 0, false
	}
	wait := time.Duration(0)
	if t.loading != "" {
		wait = max(0, t.loadDueAt.Sub(f.now))
	}
	if _, _, fits := p.evictions(f, t, n); !fits || wait > maxCopyWait {
		return 0, false
	}
	return wait + loadTime(n.model, source), true
}

// updateResumedWaits estimates when the models that resumed streams want can serve at their versions.
func (p *Planner) updateResumedWaits(f *planState) {
	for name, l := range p.demandByModel {
		m, ok := f.engine.Model(name)
		if !ok {
			continue
		}
		for software := range l.resuming {
			n, wanted := p.resumingNeed(f, m, software)
			if wanted && f.servingAt[ModelVersion{name, software}] == 0 {
				p.resumedWaits[endpoint.Absent{Model: name, Software: software}] = p.resumedWait(f, n)
			}
		}
	}
}

// resumedWait returns when the model of a need without serving replicas can serve at its version.
func (p *Planner) resumedWait(f *planState, n need) endpoint.Expected {
	expected := endpoint.Expected{Wait: f.storeSlotWait() + n.model.StoreLoadTime}
	for _, t := range f.endpoints {
		if t.state.Software != n.software {
			continue
		}
		in, ok := p.copyLoadTime(f, t, n)
		switch n.model.Name {
		case t.loading:
			in, ok = max(0, t.loadDueAt.Sub(f.now)), true
		case t.reservedFor:
			in, ok = loadTime(n.model, t.sourceOf(n.model.Name)), true
		}
		if ok && in <= expected.Wait {
			expected = endpoint.Expected{Wait: in, Loading: t.loading == n.model.Name}
		}
	}
	expected.Wait += planningDelay
	return expected
}

// storeSlotWait returns the time until another load from the store can run at full speed.
func (f *planState) storeSlotWait() time.Duration {
	if f.storeLoads < f.storeLimit {
		return 0
	}
	wait := time.Duration(math.MaxInt64)
	for _, t := range f.endpoints {
		if t.loading != "" && t.source == SourceStore {
			wait = min(wait, max(0, t.loadDueAt.Sub(f.now)))
		}
	}
	if wait == math.MaxInt64 {
		return 0 // the loads run at endpoints without a recent report
	}
	return wait
}

// lastForResumed reports whether an endpoint has the last replica of a model at its software version and streams may be resumed there. Such a
// replica yields only to resumed streams, if these outnumber those by far.
func (p *Planner) lastForResumed(f *planState, t *trackedEndpoint, model string, n need) bool {
	at := ModelVersion{model, t.state.Software}
	if f.servingAt[at] > 1 {
		return false
	}
	d := p.demandByModel[model].resumingAt(at.Software, f.now)
	if p.recentStarts[at] == 0 && !d.wanted() {
		return false
	}
	return !n.displaces(float64(p.recentStarts[at]+d.waiting) + d.missed)
}

// displaces reports whether the need is resumed streams that outnumber the given requests by so much that their model may yield to it. None
// does for a load from the store, which takes longer than most of the streams' clients stay.
func (n need) displaces(requests float64) bool {
	return n.resuming && !n.fromStore && requests*minDisplacementRatio <= n.requestsPerReplica
}

// countReplica adds a replica that is loaded, being loaded or planned at an endpoint, or removes it.
func (f *planState) countReplica(t *trackedEndpoint, model string, change int) {
	f.replicas[model] += change
	f.capacity[model] += float64(change) * t.speed()
	f.replicasAt[ModelVersion{model, t.state.Software}] += change
}

// countServing adds a replica that can serve requests, or removes it.
func (f *planState) countServing(t *trackedEndpoint, model string, change int) {
	f.serving[model] += change
	f.servingCapacity[model] += float64(change) * t.speed()
	f.servingAt[ModelVersion{model, t.state.Software}] += change
}

// reason describes the need in logs.
func (n need) reason() string {
	if n.resuming {
		return fmt.Sprintf("resumed streams want it at version %s, %.1f requests", n.software, n.requestsPerReplica)
	}
	return fmt.Sprintf("%d replicas, %.1f requests each", n.replicas, n.requestsPerReplica)
}
