package holder

import (
	"slices"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/scaling"
)

const (
	// staleMost is how old a report can be: one that shows fewer orders than the endpoint has accepted is believed only after it.
	staleMost = time.Second
	// loadSlack is what a load from a copy may take beyond its time.
	loadSlack = 30 * time.Millisecond
	// adapterTakes is when an adapter that was ordered is there: it takes 5 to 10 ms by the sheets, longer while many come.
	adapterTakes = 50 * time.Millisecond
	// lateMost is for how long a load from a copy that reports don't show yet is taken as done.
	lateMost = 600 * time.Millisecond
)

// belief is what a holder knows of its endpoint: the last report, which is some hundred milliseconds old when it comes, and the
// orders that the endpoint has accepted since. As each order names the count of orders before it, an order that follows from a
// wrong belief does nothing.
type belief struct {
	report endpoint.Report
	known  bool
	// read is when the last report came, ordered when the endpoint accepted an order last.
	read, ordered time.Time
	// doubtful tells that an order had another effect than the belief says, so that the next one needs a new report.
	doubtful bool
	// loading is the model that is being loaded, loaded when it should be there, and certain whether that needs no report.
	loading string
	loaded  time.Time
	certain bool
	// ordered adapters that no report has shown yet, with the time of their orders.
	adapters []orderedAdapter
}

type orderedAdapter struct {
	adapter endpoint.Adapter
	at      time.Time
}

// load is how long a load should take, and whether that is certain.
type load struct {
	takes   time.Duration
	certain bool
}

// WithReport returns the belief after a report.
func (b belief) WithReport(r endpoint.Report, now time.Time) belief {
	b.read, b.doubtful = now, false
	restarted := r.Born != b.report.Born
	if b.known && !restarted && r.Load.Sequence < b.report.Load.Sequence && now.Sub(b.ordered) < staleMost {
		// It is from before the last order; only the load is news.
		load := b.report.Load
		load.Running, load.Waiting, load.KVUsed, load.KVTotal = r.Load.Running, r.Load.Waiting, r.Load.KVUsed, r.Load.KVTotal
		b.report.Load = load
		return b
	}
	b.report, b.known = r, true
	held := endpoint.State{Models: r.Models}.Holds(b.loading)
	b.adapters = slices.DeleteFunc(slices.Clone(b.adapters), func(o orderedAdapter) bool {
		return restarted || !slices.Contains(r.Load.Pending, o.adapter)
	})
	if restarted || held || b.loading != "" && !r.Load.Busy && now.After(b.loaded.Add(lateMost)) {
		b.loading = ""
	}
	return b
}

// WithOrder returns the belief after an endpoint's answer to an order.
func (b belief) WithOrder(o scaling.Order, outcome scaling.Outcome, expected load, now time.Time) belief {
	b.report = b.Report(now)
	load, models := b.report.Load, b.report.Models
	load.Pending = slices.Clone(load.Pending)
	dropped := o.Unload && o.Adapter != "" && outcome == scaling.OutcomeHolds
	switch {
	case dropped:
		models = endpoint.WithoutAdapter(models, endpoint.Adapter{Model: o.Model, Name: o.Adapter})
	case outcome != scaling.OutcomeAccepted:
		b.doubtful = true
		return b
	case o.Adapter == "":
		load.Busy = true
		b.loading, b.loaded = "", time.Time{}
		if !o.Unload {
			b.loading, b.loaded, b.certain = o.Model, now.Add(expected.takes+loadSlack), expected.certain
		}
	case o.Unload:
		// Runs still use it: the endpoint takes no order until they have ended, and no further requests for it.
		load.Busy = true
		models = endpoint.WithoutAdapter(models, endpoint.Adapter{Model: o.Model, Name: o.Adapter})
		b.loading, b.loaded = "", time.Time{}
	default:
		wanted := endpoint.Adapter{Model: o.Model, Name: o.Adapter}
		load.Pending = append(load.Pending, wanted)
		b.adapters = append(slices.Clone(b.adapters), orderedAdapter{wanted, now})
	}
	load.Sequence++
	b.report.Load, b.report.Models, b.ordered = load, models, now
	return b
}

// Report returns the endpoint's report as it should be now.
func (b belief) Report(now time.Time) endpoint.Report {
	r := b.report
	for _, o := range b.adapters {
		if now.Sub(o.at) >= adapterTakes && slices.Contains(r.Load.Pending, o.adapter) {
			r.Load.Pending = slices.DeleteFunc(slices.Clone(r.Load.Pending), func(a endpoint.Adapter) bool { return a == o.adapter })
			r.Models = endpoint.WithAdapter(r.Models, o.adapter)
		}
	}
	if b.loading != "" && b.certain && !now.Before(b.loaded) && !(endpoint.State{Models: r.Models}).Holds(b.loading) {
		r.Load.Busy = false
		r.Models = append(slices.Clone(r.Models), endpoint.Model{Name: b.loading})
	}
	return r
}

// eager tells that something is about to change at the endpoint.
func (b belief) eager(now time.Time) bool {
	load := b.report.Load
	switch {
	case !b.known || b.doubtful || len(load.Pending) > 0:
		return true
	case !load.Busy:
		return false
	}
	// Of a load only the end is of interest; an unload may end any time.
	return b.loading == "" || now.After(b.loaded.Add(-loadSlack))
}
