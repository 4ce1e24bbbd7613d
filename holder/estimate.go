package holder

import (
	"slices"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/scaling"
)

const (
	// maxReportDelay is the maximum delay of a report. An older report can show fewer orders than the endpoint has accepted, so such
	// a report is trusted only once the last order is older than this.
	maxReportDelay = time.Second
	// loadMargin is added to the expected duration of a load from a copy.
	loadMargin = 30 * time.Millisecond
	// adapterLoadTime is the time after which an ordered adapter is assumed to be loaded. The platform documents 5 to 10 ms; many
	// adapters at once take longer.
	adapterLoadTime = 50 * time.Millisecond
	// loadReportTimeout is how long a load from a copy is assumed to have succeeded while no report shows it.
	loadReportTimeout = 600 * time.Millisecond
)

// estimate is a holder's estimate of its endpoint's state: the last report, which is some hundred milliseconds old on arrival, plus
// the orders that the endpoint has accepted since. Each order carries the number of orders before it, so the endpoint rejects an
// order that was derived from a wrong estimate.
type estimate struct {
	report    endpoint.Report
	hasReport bool
	// readAt is when the last report arrived, orderedAt when the endpoint last accepted an order.
	readAt, orderedAt time.Time
	// needsReport is set when the outcome of an order did not match the estimate; a new report is then needed before the next order.
	needsReport bool
	// loadingModel is the model being loaded and loadEndsAt the expected end of the load. If predictable is set, the model counts as
	// loaded from then on without a report.
	loadingModel string
	loadEndsAt   time.Time
	predictable  bool
	// pendingAdapters are ordered adapters that no report has shown yet.
	pendingAdapters []pendingAdapter
}

type pendingAdapter struct {
	adapter   endpoint.Adapter
	orderedAt time.Time
}

// loadEstimate is the expected duration of a load, and whether it is reliable enough to do without a report.
type loadEstimate struct {
	duration    time.Duration
	predictable bool
}

// withReport returns the estimate updated by a report.
func (e estimate) withReport(r endpoint.Report, now time.Time) estimate {
	e.readAt, e.needsReport = now, false
	restarted := r.StartMS != e.report.StartMS
	if e.hasReport && !restarted && r.Load.Sequence < e.report.Load.Sequence && now.Sub(e.orderedAt) < maxReportDelay {
		// The report predates the last order; only its utilization figures are used.
		load := e.report.Load
		load.Running, load.Waiting, load.KVUsed, load.KVTotal = r.Load.Running, r.Load.Waiting, r.Load.KVUsed, r.Load.KVTotal
		e.report.Load = load
		return e
	}
	e.report, e.hasReport = r, true
	held := endpoint.State{Models: r.Models}.Holds(e.loadingModel)
	e.pendingAdapters = slices.DeleteFunc(slices.Clone(e.pendingAdapters), func(o pendingAdapter) bool {
		return restarted || !slices.Contains(r.Load.Pending, o.adapter)
	})
	if restarted || held || e.loadingModel != "" && !r.Load.Busy && now.After(e.loadEndsAt.Add(loadReportTimeout)) {
		e.loadingModel = ""
	}
	return e
}

// withOrder returns the estimate updated by the outcome of an order.
func (e estimate) withOrder(o scaling.Order, outcome scaling.Outcome, expected loadEstimate, now time.Time) estimate {
	e.report = e.projectedReport(now)
	load, models := e.report.Load, e.report.Models
	load.Pending = slices.Clone(load.Pending)
	unloaded := o.Unload && o.Adapter != "" && outcome == scaling.OutcomeAlreadyApplied
	switch {
	case unloaded:
		models = endpoint.WithoutAdapter(models, endpoint.Adapter{Model: o.Model, Name: o.Adapter})
	case outcome != scaling.OutcomeAccepted:
		e.needsReport = true
		return e
	case o.Adapter == "":
		load.Busy = true
		e.loadingModel, e.loadEndsAt = "", time.Time{}
		if !o.Unload {
			e.loadingModel, e.loadEndsAt, e.predictable = o.Model, now.Add(expected.duration+loadMargin), expected.predictable
		}
	case o.Unload:
		// Requests still use the adapter: until they end, the endpoint accepts no orders and no further requests for the adapter.
		load.Busy = true
		models = endpoint.WithoutAdapter(models, endpoint.Adapter{Model: o.Model, Name: o.Adapter})
		e.loadingModel, e.loadEndsAt = "", time.Time{}
	default:
		wanted := endpoint.Adapter{Model: o.Model, Name: o.Adapter}
		load.Pending = append(load.Pending, wanted)
		e.pendingAdapters = append(slices.Clone(e.pendingAdapters), pendingAdapter{wanted, now})
	}
	load.Sequence++
	e.report.Load, e.report.Models, e.orderedAt = load, models, now
	return e
}

// projectedReport returns the report projected to the given time from the orders accepted since.
func (e estimate) projectedReport(now time.Time) endpoint.Report {
	r := e.report
	for _, o := range e.pendingAdapters {
		if now.Sub(o.orderedAt) >= adapterLoadTime && slices.Contains(r.Load.Pending, o.adapter) {
			r.Load.Pending = slices.DeleteFunc(slices.Clone(r.Load.Pending), func(a endpoint.Adapter) bool { return a == o.adapter })
			r.Models = endpoint.WithAdapter(r.Models, o.adapter)
		}
	}
	if e.loadingModel != "" && e.predictable && !now.Before(e.loadEndsAt) && !(endpoint.State{Models: r.Models}).Holds(e.loadingModel) {
		r.Load.Busy = false
		r.Models = append(slices.Clone(r.Models), endpoint.Model{Name: e.loadingModel})
	}
	return r
}

// changeExpected reports whether the endpoint's state is unknown or expected to change soon.
func (e estimate) changeExpected(now time.Time) bool {
	load := e.report.Load
	switch {
	case !e.hasReport || e.needsReport || len(load.Pending) > 0:
		return true
	case !load.Busy:
		return false
	}
	// For a load only the expected end matters; an unload can complete at any time.
	return e.loadingModel == "" || now.After(e.loadEndsAt.Add(-loadMargin))
}
