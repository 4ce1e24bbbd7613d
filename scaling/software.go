package scaling

import (
	"fmt"

	"burdocksaddle/stream"
)

// ModelVersion is a model at the endpoints that run one software version.
type ModelVersion struct{ Model, Software string }

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
			if l.resuming[software] > 0 && f.replicasAt[ModelVersion{name, software}] == 0 {
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

// canResume reports whether an endpoint can load the model for the need in time: it runs the version and has a local copy. A load from the
// store takes longer than the clients of resumed streams wait.
func (n need) canResume(t *trackedEndpoint) bool {
	return t.state.Software == n.software && t.sourceOf(n.model.Name) != SourceStore
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
