package gateway

import (
	"fmt"
	"time"

	"burdocksaddle/uplink"
)

// Metric names. Labels have few values: kinds of routes, and the gateway's own outcomes and reasons.
const (
	metricRequests          = "burdocksaddle_gateway_requests_total"
	metricRequestSeconds    = "burdocksaddle_gateway_request_seconds"
	metricFirstEventSeconds = "burdocksaddle_gateway_first_byte_seconds"
	metricRefusals          = "burdocksaddle_gateway_refusals_total"
	metricSends             = "burdocksaddle_gateway_sends_total"
	metricRetries           = "burdocksaddle_gateway_repeats_total"
	metricNotRun            = "burdocksaddle_gateway_turned_away_total"
	metricAdapters          = "burdocksaddle_gateway_adapter_calls_total"
	metricLeaving           = "burdocksaddle_gateway_leaving_endpoints_total"
	metricInvalidPauses     = "burdocksaddle_gateway_invalid_pauses_total"
	metricPauses            = "burdocksaddle_gateway_endpoint_pauses_total"
	metricActive            = "burdocksaddle_gateway_active_requests"
	metricWaiting           = "burdocksaddle_gateway_waiting_requests"
	metricEndpoints         = "burdocksaddle_gateway_endpoints"
	metricEndpointsAge      = "burdocksaddle_gateway_endpoints_age_seconds"
	metricTableVersion      = "burdocksaddle_gateway_table_version"
	metricTableAge          = "burdocksaddle_gateway_table_age_seconds"
	metricTables            = "burdocksaddle_gateway_tables_received_total"
	metricTableBytes        = "burdocksaddle_gateway_table_bytes_total"
	metricTableSeconds      = "burdocksaddle_gateway_table_transfer_seconds"
	metricHasLeader         = "burdocksaddle_gateway_has_leader"
	metricCrashes           = "burdocksaddle_gateway_endpoint_crashes_total"
	metricDroppedCrashes    = "burdocksaddle_gateway_dropped_crashes_total"
	metricLimits            = "burdocksaddle_gateway_endpoint_limits_total"
	metricInvalidLimits     = "burdocksaddle_gateway_invalid_limits_total"
	metricNoTurns           = "burdocksaddle_gateway_turns_denied_total"
	metricLateStarts        = "burdocksaddle_gateway_late_stream_starts_total"
	metricOrigins           = "burdocksaddle_gateway_resumed_streams_total"
	metricTrials            = "burdocksaddle_gateway_quarantine_trials_total"
	metricDeniedKeys        = "burdocksaddle_gateway_denied_keys_total"
	metricQuotaCharges      = "burdocksaddle_gateway_quota_charges_total"
	metricQuotaCalls        = "burdocksaddle_gateway_quota_calls_total"
	metricQuotaReturns      = "burdocksaddle_gateway_quota_returns_total"
	metricQuotaRenewals     = "burdocksaddle_gateway_quota_renewals_total"
	metricQuotaWaiting      = "burdocksaddle_gateway_quota_waiting_requests"
	metricChoicesByWork     = "burdocksaddle_gateway_choices_by_work_total"
	metricHeldPrompts       = "burdocksaddle_gateway_held_prompts_total"
	metricUnevenServices    = "burdocksaddle_gateway_uneven_services"
	metricPaces             = "burdocksaddle_gateway_reported_paces_total"
	metricQuarantineEntries = "burdocksaddle_gateway_quarantine_entries"
)

var kindNames = [...]string{"Idempotent", "Once", "Stream"}

// registerGauges registers the gauges that are computed when the metrics are collected.
func (g *Gateway) registerGauges() {
	g.metrics.NewGauge(metricActive, func() float64 { return float64(g.Active()) })
	g.metrics.NewGauge(metricTableVersion, func() float64 { return float64(g.version()) })
	g.metrics.NewGauge(metricWaiting, g.withLock(func() float64 {
		waiting := 0
		for _, d := range g.demands {
			waiting += d.waiting
		}
		return float64(waiting)
	}))
	g.metrics.NewGauge(metricEndpoints, g.withLock(func() float64 { return float64(len(g.endpoints)) }))
	g.metrics.NewGauge(metricUnevenServices, g.withLock(func() float64 { return float64(len(g.speedServices)) }))
	g.metrics.NewGauge(metricEndpointsAge, g.withLock(func() float64 { return time.Since(g.endpointsUpdatedAt).Seconds() }))
	g.metrics.NewGauge(metricTableAge, g.withLock(func() float64 { return time.Since(g.tableUpdatedAt).Seconds() }))
	g.metrics.NewGauge(metricQuarantineEntries, g.withLock(func() float64 { return float64(g.crashes.table.Active() + len(g.crashes.table.Requests)) }))
	g.metrics.NewGauge(metricQuotaWaiting, g.withLock(func() float64 { return float64(len(g.quotas.waiting)) }))
	g.metrics.NewGauge(metricHasLeader, g.withLock(func() float64 {
		if g.currentLeader == "" {
			return 0
		}
		return 1
	}))
}

func (g *Gateway) withLock(read func() float64) func() float64 {
	return func() float64 {
		g.mu.Lock()
		defer g.mu.Unlock()
		return read()
	}
}

func (g *Gateway) count(name string) { g.metrics.GetOrCreateCounter(name).Inc() }

// countTable counts a received table, its bytes on the wire and the time that its transfer took.
func (g *Gateway) countTable(received uplink.Table) {
	g.count(metricTables)
	g.metrics.GetOrCreateCounter(metricTableBytes).Add(received.TransferredBytes)
	g.metrics.GetOrCreateHistogram(metricTableSeconds).Update(received.Took.Seconds())
}

// recordOutcome updates the metrics of a finished request.
func (t *transaction) recordOutcome() {
	kind := kindNames[t.route.Kind]
	t.count(fmt.Sprintf("%s{kind=%q,outcome=%q}", metricRequests, kind, t.outcome))
	t.metrics.GetOrCreateHistogram(fmt.Sprintf("%s{kind=%q}", metricRequestSeconds, kind)).UpdateDuration(t.arrivedAt)
	if t.reason != "" {
		t.count(fmt.Sprintf("%s{kind=%q,reason=%q}", metricRefusals, kind, t.reason))
	}
	t.metrics.GetOrCreateCounter(fmt.Sprintf("%s{kind=%q}", metricSends, kind)).Add(t.sends)
	if t.sends > 1 {
		t.metrics.GetOrCreateCounter(fmt.Sprintf("%s{kind=%q}", metricRetries, kind)).Add(t.sends - 1)
	}
}

// recordFirstEvent records the time to a stream's first event.
func (t *transaction) recordFirstEvent() {
	t.firstEventAfter = time.Since(t.arrivedAt)
	t.metrics.GetOrCreateHistogram(metricFirstEventSeconds).UpdateDuration(t.arrivedAt)
}
