package gateway

import (
	"fmt"
	"time"
)

// Names of metrics; labels have few values: kinds of routes, outcomes and reasons of the gateway's own.
const (
	metricRequests  = "burdocksaddle_gateway_requests_total"
	metricSeconds   = "burdocksaddle_gateway_request_seconds"
	metricFirst     = "burdocksaddle_gateway_first_byte_seconds"
	metricRefusals  = "burdocksaddle_gateway_refusals_total"
	metricSends     = "burdocksaddle_gateway_sends_total"
	metricRepeats   = "burdocksaddle_gateway_repeats_total"
	metricNotRun    = "burdocksaddle_gateway_turned_away_total"
	metricAdapters  = "burdocksaddle_gateway_adapter_calls_total"
	metricActive    = "burdocksaddle_gateway_active_requests"
	metricWaiting   = "burdocksaddle_gateway_waiting_requests"
	metricEndpoints = "burdocksaddle_gateway_endpoints"
	metricShownAge  = "burdocksaddle_gateway_endpoints_age_seconds"
	metricTable     = "burdocksaddle_gateway_table_version"
	metricTableAge  = "burdocksaddle_gateway_table_age_seconds"
	metricHasLeader = "burdocksaddle_gateway_has_leader"
)

var kindNames = [...]string{"Idempotent", "Once", "Stream"}

// registerGauges adds what is read when the metrics are.
func (g *Gateway) registerGauges() {
	g.metrics.NewGauge(metricActive, func() float64 { return float64(g.Active()) })
	g.metrics.NewGauge(metricTable, func() float64 { return float64(g.version()) })
	g.metrics.NewGauge(metricWaiting, g.locked(func() float64 {
		waiting := 0
		for _, d := range g.demands {
			waiting += d.waiting
		}
		return float64(waiting)
	}))
	g.metrics.NewGauge(metricEndpoints, g.locked(func() float64 { return float64(len(g.endpoints)) }))
	g.metrics.NewGauge(metricShownAge, g.locked(func() float64 { return time.Since(g.shown).Seconds() }))
	g.metrics.NewGauge(metricTableAge, g.locked(func() float64 { return time.Since(g.tabled).Seconds() }))
	g.metrics.NewGauge(metricHasLeader, g.locked(func() float64 {
		if g.leading == "" {
			return 0
		}
		return 1
	}))
}

func (g *Gateway) locked(read func() float64) func() float64 {
	return func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return read()
	}
}

func (g *Gateway) count(name string) { g.metrics.GetOrCreateCounter(name).Inc() }

// ended counts a request's end.
func (t *try) ended() {
	kind := kindNames[t.route.Kind]
	t.count(fmt.Sprintf("%s{kind=%q,outcome=%q}", metricRequests, kind, t.outcome))
	t.metrics.GetOrCreateHistogram(fmt.Sprintf("%s{kind=%q}", metricSeconds, kind)).UpdateDuration(t.began)
	if t.reason != "" {
		t.count(fmt.Sprintf("%s{kind=%q,reason=%q}", metricRefusals, kind, t.reason))
	}
	t.metrics.GetOrCreateCounter(fmt.Sprintf("%s{kind=%q}", metricSends, kind)).Add(t.sends)
	if t.sends > 1 {
		t.metrics.GetOrCreateCounter(fmt.Sprintf("%s{kind=%q}", metricRepeats, kind)).Add(t.sends - 1)
	}
}

// first counts the time to a stream's first event.
func (t *try) first() {
	t.firstAfter = time.Since(t.began)
	t.metrics.GetOrCreateHistogram(metricFirst).UpdateDuration(t.began)
}
