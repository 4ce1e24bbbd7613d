package admission

import "time"

// forecastTTL is how long a forecast is valid unless it is renewed.
const forecastTTL = 5 * time.Second

// Forecast is the expected time until a queue's model can serve, or the reason why it won't.
type Forecast struct {
	Queue   string
	ReadyIn time.Duration
	// Refused is the reason why no replica will be loaded; empty if one may be.
	Refused string
}

// SetForecast sets the control role's forecast for a queue.
func (a *Admission) SetForecast(f Forecast, now time.Time) {
	q, ok := a.queues[f.Queue]
	if !ok {
		return
	}
	q.readyAt, q.forecastSetAt, q.refusedReason = now.Add(f.ReadyIn), now, f.Refused
}

// SetCapacity sets how many requests of a queue run concurrently; a value above 0 means that a replica already
// serves.
func (a *Admission) SetCapacity(name string, capacity int) {
	q, ok := a.queues[name]
	if !ok {
		return
	}
	q.capacity = capacity
	if capacity > 0 {
		q.readyAt, q.refusedReason = time.Time{}, ""
	}
}

// Demand describes the requests of one queue.
type Demand struct {
	Queue   string
	Waiting int
	Running int
	// EarliestDeadline is the earliest deadline of the requests, Urgency the urgency value of the most urgent one.
	EarliestDeadline time.Time
	Urgency          int
	// ReadyIn is the forecast time until a replica serves, MeanServiceTime the average service time.
	ReadyIn         time.Duration
	MeanServiceTime time.Duration
}

// Demands returns the demand of each queue that holds requests.
func (a *Admission) Demands(now time.Time) []Demand {
	byQueue := map[*queue]*Demand{}
	all := []*Demand{}
	for name, q := range a.queues {
		if q.idle() {
			continue
		}
		d := &Demand{Queue: name, Waiting: q.waiting, Running: q.running, Urgency: lowestUrgency, ReadyIn: q.readyIn(now), MeanServiceTime: q.meanServiceTime}
		byQueue[q] = d
		all = append(all, d)
	}
	for _, t := range a.tickets {
		d := byQueue[t.queue]
		if d.EarliestDeadline.IsZero() || t.Deadline.Before(d.EarliestDeadline) {
			d.EarliestDeadline = t.Deadline
		}
		d.Urgency = min(d.Urgency, t.Urgency)
	}
	out := make([]Demand, 0, len(all))
	for _, d := range all {
		out = append(out, *d)
	}
	return out
}

// Waiting returns the names of the queues that have waiting requests.
func (a *Admission) Waiting() []string {
	var names []string
	for name, q := range a.queues {
		if q.waiting > 0 {
			names = append(names, name)
		}
	}
	return names
}

// lowestUrgency is the largest urgency value of RFC 9218; larger values are less urgent.
const lowestUrgency = 7
