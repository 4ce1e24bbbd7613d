package admission

import "time"

// forecastLifetime is how long a forecast counts that nobody renews.
const forecastLifetime = 5 * time.Second

// Forecast is when a model is expected to serve.
type Forecast struct {
	Queue   string
	ReadyIn time.Duration
	// Refused names why no replica will come; empty when one may.
	Refused string
}

// SetForecast takes control's word on a queue.
func (a *Admission) SetForecast(f Forecast, now time.Time) {
	q, ok := a.queues[f.Queue]
	if !ok {
		return
	}
	q.ready, q.forecastAt, q.refused = now.Add(f.ReadyIn), now, f.Refused
}

// SetCapacity takes how many requests of a queue run at once; above 0 a replica serves already.
func (a *Admission) SetCapacity(name string, capacity int) {
	q, ok := a.queues[name]
	if !ok {
		return
	}
	q.capacity = capacity
	if capacity > 0 {
		q.ready, q.refused = time.Time{}, ""
	}
}

// Demand is what waits in one queue.
type Demand struct {
	Queue    string
	Waiting  int
	Running  int
	Earliest time.Time
	Urgency  int
	// ReadyIn is the forecast, Service the average time of a request.
	ReadyIn time.Duration
	Service time.Duration
}

// Demands returns the queues that hold requests.
func (a *Admission) Demands(now time.Time) []Demand {
	byQueue := map[*queue]*Demand{}
	all := []*Demand{}
	for name, q := range a.queues {
		if q.idle() {
			continue
		}
		d := &Demand{Queue: name, Waiting: q.waiting, Running: q.running, Urgency: lowestUrgency, ReadyIn: q.readyIn(now), Service: q.service}
		byQueue[q] = d
		all = append(all, d)
	}
	for _, t := range a.open {
		d := byQueue[t.queue]
		if d.Earliest.IsZero() || t.Deadline.Before(d.Earliest) {
			d.Earliest = t.Deadline
		}
		d.Urgency = min(d.Urgency, t.Urgency)
	}
	out := make([]Demand, 0, len(all))
	for _, d := range all {
		out = append(out, *d)
	}
	return out
}

// Waiting returns the names of queues in which requests wait.
func (a *Admission) Waiting() []string {
	var names []string
	for name, q := range a.queues {
		if q.waiting > 0 {
			names = append(names, name)
		}
	}
	return names
}

const lowestUrgency = 7
