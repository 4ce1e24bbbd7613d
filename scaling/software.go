package scaling

import (
	"fmt"
	"maps"

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

// RecordStarts sets the models that have begun streams lately, by software version. Clients may resume these streams, at that version only.
func (p *Planner) RecordStarts(recent map[ModelVersion]bool) { p.recentStarts = recent }

// resumingNeeds returns the models for which resumed streams wait at a software version without a replica.
func (p *Planner) resumingNeeds(f *planState) []need {
	var needs []need
	for _, name := range sortedKeys(p.demandByModel) {
		m, ok := f.engine.Model(name)
		if !ok {
			continue
		}
		l := p.demandByModel[name]
		for _, software := range sortedKeys(l.resuming) {
			at := ModelVersion{name, software}
			switch replicas := f.replicasAt[at]; {
			case l.resuming[software] == 0:
			case replicas > 0:
				p.unmet[at] = Obstacles{Replicas: replicas}
			default:
				needs = append(needs, need{model: m, requestsPerReplica: float64(l.resuming[software]), resuming: true, software: software})
			}
		}
	}
	return needs
}

// lastForResumed reports whether an endpoint has the last replica of a model at its software version and streams may be resumed there.
func (p *Planner) lastForResumed(f *planState, t *trackedEndpoint, model string) bool {
	at := ModelVersion{model, t.state.Software}
	if f.servingAt[at] > 1 {
		return false
	}
	l := p.demandByModel[model]
	return p.recentStarts[at] || l != nil && l.resuming[at.Software] > 0
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

// resumingCounts returns a copy of the numbers of waiting resumed streams.
func resumingCounts(versions []Resuming) map[string]int {
	counts := make(map[string]int, len(versions))
	for _, r := range versions {
		counts[r.Software] += r.Waiting
	}
	return counts
}

// reason describes the need in logs.
func (n need) reason() string {
	if n.resuming {
		return fmt.Sprintf("%.0f resumed streams wait at version %s", n.requestsPerReplica, n.software)
	}
	return fmt.Sprintf("%d replicas, %.1f requests each", n.replicas, n.requestsPerReplica)
}
