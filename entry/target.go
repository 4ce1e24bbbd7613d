package entry

import (
	"cmp"
	"slices"
	"time"

	"burdocksaddle/routing"
	"burdocksaddle/wirepb"
)

// refresh makes the targets of all queues anew from the view.
func (s *scheduler) refresh(now time.Time) {
	all := s.watch.Endpoints("")
	slices.SortFunc(all, func(a, b *wirepb.EndpointView) int { return cmp.Compare(a.GetName(), b.GetName()) })
	s.mu.Lock()
	defer s.mu.Unlock()
	targets, known, loaded := map[string]*target{}, map[string]*wirepb.EndpointView{}, map[string]time.Time{}
	add := func(queue string, e routing.Endpoint) {
		t, ok := targets[queue]
		if !ok {
			t = &target{}
			targets[queue] = t
		}
		t.all = append(t.all, e)
		if !e.Out {
			t.slots += e.Slots
		}
	}
	for _, endpoint := range all {
		known[endpoint.GetName()] = endpoint
		e := routing.Endpoint{
			Name: endpoint.GetName(), DataCentre: endpoint.GetDataCentre(), Slots: int(endpoint.GetSlots()),
			Incarnation: endpoint.GetIncarnation(), Out: endpoint.GetLeaving() || endpoint.GetSilent(),
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
	for _, t := range targets {
		t.near = routing.Subset(s.node, t.all)
	}
	s.targets, s.known, s.loaded = targets, known, loaded
	for name, t := range targets {
		s.admission.SetCapacity(name, t.slots)
	}
	s.matchAll(now)
}

// warming tells whether a replica was first seen loaded just now; what was there at the start is warm.
func (s *scheduler) warming(replica string, loaded map[string]time.Time, now time.Time) bool {
	since, seen := s.loaded[replica]
	if !seen && len(s.known) > 0 {
		since = now
	}
	loaded[replica] = since
	return now.Sub(since) < warmingTime
}

// target returns what can serve a queue; nothing where none is known.
func (s *scheduler) target(queue string) *target {
	if t, ok := s.targets[queue]; ok {
		return t
	}
	return &target{}
}

func (s *scheduler) dump(d *Dump) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, demand := range s.admission.Demands(time.Now()) {
		d.Queues[demand.Queue] = QueueDump{Waiting: demand.Waiting, Running: demand.Running}
	}
	for name := range s.known {
		d.Endpoints = append(d.Endpoints, name)
	}
	slices.Sort(d.Endpoints)
}
