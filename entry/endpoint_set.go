package entry

import (
	"cmp"
	"slices"
	"time"

	"burdocksaddle/routing"
	"burdocksaddle/wirepb"
)

// refresh rebuilds the endpoint sets of all queues from the view.
func (s *scheduler) refresh(now time.Time) {
	all := s.view.Endpoints("")
	slices.SortFunc(all, func(a, b *wirepb.EndpointView) int { return cmp.Compare(a.GetName(), b.GetName()) })
	s.mu.Lock()
	defer s.mu.Unlock()
	sets, known, loaded := map[string]*endpointSet{}, map[string]*wirepb.EndpointView{}, map[string]time.Time{}
	add := func(queue string, e routing.Endpoint) {
		t, ok := sets[queue]
		if !ok {
			t = &endpointSet{}
			sets[queue] = t
		}
		t.all = append(t.all, e)
		if !e.Unavailable {
			t.slots += e.Slots
		}
	}
	for _, endpoint := range all {
		known[endpoint.GetName()] = endpoint
		e := routing.Endpoint{
			Name: endpoint.GetName(), DataCentre: endpoint.GetDataCentre(), Slots: int(endpoint.GetSlots()),
			Incarnation: endpoint.GetIncarnation(), Unavailable: endpoint.GetLeaving() || endpoint.GetSilent(),
		}
		add(serviceQueue+endpoint.GetService(), e)
		for _, replica := range endpoint.GetReplicas() {
			if replica.GetState() != wirepb.ReplicaState_REPLICA_LOADED {
				continue
			}
			e.Warming = s.warming(endpoint.GetName()+"/"+replica.GetModel(), loaded, now)
			add(modelQueue+replica.GetModel(), e)
		}
	}
	for _, t := range sets {
		t.subset = routing.Subset(s.node, t.all)
	}
	s.endpointSets, s.endpoints, s.loadedSince = sets, known, loaded
	for name, t := range sets {
		s.admission.SetCapacity(name, t.slots)
	}
	s.matchAll(now)
}

// warming reports whether a replica was first seen loaded within the warming period. Replicas that were loaded when the
// entry first saw endpoints count as warm.
func (s *scheduler) warming(replica string, loaded map[string]time.Time, now time.Time) bool {
	since, seen := s.loadedSince[replica]
	if !seen && len(s.endpoints) > 0 {
		since = now
	}
	loaded[replica] = since
	return now.Sub(since) < warmingPeriod
}

// endpointSet returns the endpoints of a queue, or an empty set for an unknown queue.
func (s *scheduler) endpointSet(queue string) *endpointSet {
	if t, ok := s.endpointSets[queue]; ok {
		return t
	}
	return &endpointSet{}
}

func (s *scheduler) dump(d *Dump) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, demand := range s.admission.Demands(time.Now()) {
		d.Queues[demand.Queue] = QueueDump{Waiting: demand.Waiting, Running: demand.Running}
	}
	for name := range s.endpoints {
		d.Endpoints = append(d.Endpoints, name)
	}
	slices.Sort(d.Endpoints)
}
