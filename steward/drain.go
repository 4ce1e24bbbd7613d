package steward

import (
	"time"

	"burdocksaddle/endpoint"
)

// recordNotDraining records which endpoints a read of the list that began at the given time showed as not draining.
func (l *leader) recordNotDraining(listed []endpoint.State, asked time.Time) {
	before := l.notDrainingAt
	l.notDrainingAt = make(map[string]time.Time, len(listed))
	for _, e := range listed {
		if !e.Draining {
			l.notDrainingAt[e.ID] = asked
		} else if at, known := before[e.ID]; known {
			l.notDrainingAt[e.ID] = at
		}
	}
}

// withDrainingSince adds to the draining endpoints since when the list may have shown that they are. Gateways need it to know for how long
// these endpoints may take up streams.
func (l *leader) withDrainingSince(endpoints []endpoint.State) []endpoint.State {
	for i, e := range endpoints {
		if e.Draining {
			endpoints[i].DrainingSince = l.notDrainingAt[e.ID]
		}
	}
	return endpoints
}
