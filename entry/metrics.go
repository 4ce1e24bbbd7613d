package entry

import (
	"io"

	"github.com/VictoriaMetrics/metrics"

	"burdocksaddle/wirepb"
)

// entryMetrics holds the metrics of one entry. Each entry has its own set, since a process may run several entries.
type entryMetrics struct {
	set              *metrics.Set
	admitted         *metrics.Counter
	answered         *metrics.Counter
	refused          *metrics.Counter
	lateAnswers      *metrics.Counter
	framesDropped    *metrics.Counter
	streamsResumed   *metrics.Counter
	retries          *metrics.Counter
	retriesDenied    *metrics.Counter
	enquiries        *metrics.Counter
	claimsLeftOpen   *metrics.Counter
	violations       *metrics.Counter
	demands          *metrics.Counter
	requestSeconds   *metrics.Histogram
	firstPartSeconds *metrics.Histogram
}

func newEntryMetrics(openRequests func() float64) *entryMetrics {
	set := metrics.NewSet()
	set.NewGauge("burdocksaddle_entry_open_requests", openRequests)
	return &entryMetrics{
		set:              set,
		admitted:         set.NewCounter("burdocksaddle_entry_requests_admitted_total"),
		answered:         set.NewCounter("burdocksaddle_entry_requests_answered_total"),
		demands:          set.NewCounter("burdocksaddle_entry_demands_total"),
		refused:          set.NewCounter("burdocksaddle_entry_requests_refused_total"),
		lateAnswers:      set.NewCounter("burdocksaddle_entry_answers_late_total"),
		framesDropped:    set.NewCounter("burdocksaddle_entry_frames_dropped_total"),
		streamsResumed:   set.NewCounter("burdocksaddle_entry_streams_resumed_total"),
		retries:          set.NewCounter("burdocksaddle_entry_retries_total"),
		retriesDenied:    set.NewCounter("burdocksaddle_entry_retries_denied_total"),
		enquiries:        set.NewCounter("burdocksaddle_entry_enquiries_total"),
		claimsLeftOpen:   set.NewCounter("burdocksaddle_entry_claims_left_open_total"),
		violations:       set.NewCounter("burdocksaddle_entry_invariants_violated_total"),
		requestSeconds:   set.NewHistogram("burdocksaddle_entry_request_seconds"),
		firstPartSeconds: set.NewHistogram("burdocksaddle_entry_first_part_seconds"),
	}
}

// countRefusal counts a refusal by its code and run state.
func (c *entryMetrics) countRefusal(refused ErrRefused) {
	c.refused.Inc()
	c.set.GetOrCreateCounter(`burdocksaddle_entry_refusals_total{code="` + refused.Code + `",run="` + runLabels[refused.Run] + `"}`).Inc()
}

var runLabels = map[wirepb.Run]string{
	wirepb.Run_RUN_NOT_RUN: "NotRun", wirepb.Run_RUN_UNKNOWN: "Unknown", wirepb.Run_RUN_RAN: "Ran",
}

// WriteMetrics writes the entry's metrics in the Prometheus text format.
func (e *Entry) WriteMetrics(to io.Writer) { e.metrics.set.WritePrometheus(to) }
