package entry

import (
	"io"

	"github.com/VictoriaMetrics/metrics"

	"burdocksaddle/wirepb"
)

// counters are an entry's metrics; a process may hold several entries.
type counters struct {
	set       *metrics.Set
	admitted  *metrics.Counter
	answered  *metrics.Counter
	refused   *metrics.Counter
	late      *metrics.Counter
	dropped   *metrics.Counter
	resumed   *metrics.Counter
	retried   *metrics.Counter
	denied    *metrics.Counter
	enquiries *metrics.Counter
	unclosed  *metrics.Counter
	violated  *metrics.Counter
	demands   *metrics.Counter
	seconds   *metrics.Histogram
	firstByte *metrics.Histogram
}

func newCounters(waiting func() float64) *counters {
	set := metrics.NewSet()
	set.NewGauge("burdocksaddle_entry_open_requests", waiting)
	return &counters{
		set:       set,
		admitted:  set.NewCounter("burdocksaddle_entry_requests_admitted_total"),
		answered:  set.NewCounter("burdocksaddle_entry_requests_answered_total"),
		demands:   set.NewCounter("burdocksaddle_entry_demands_total"),
		refused:   set.NewCounter("burdocksaddle_entry_requests_refused_total"),
		late:      set.NewCounter("burdocksaddle_entry_answers_late_total"),
		dropped:   set.NewCounter("burdocksaddle_entry_frames_dropped_total"),
		resumed:   set.NewCounter("burdocksaddle_entry_streams_resumed_total"),
		retried:   set.NewCounter("burdocksaddle_entry_retries_total"),
		denied:    set.NewCounter("burdocksaddle_entry_retries_denied_total"),
		enquiries: set.NewCounter("burdocksaddle_entry_enquiries_total"),
		unclosed:  set.NewCounter("burdocksaddle_entry_claims_left_open_total"),
		violated:  set.NewCounter("burdocksaddle_entry_invariants_violated_total"),
		seconds:   set.NewHistogram("burdocksaddle_entry_request_seconds"),
		firstByte: set.NewHistogram("burdocksaddle_entry_first_part_seconds"),
	}
}

// refusal counts one refusal by its code and what is said of the run.
func (c *counters) refusal(refused ErrRefused) {
	c.refused.Inc()
	c.set.GetOrCreateCounter(`burdocksaddle_entry_refusals_total{code="` + refused.Code + `",run="` + runLabels[refused.Run] + `"}`).Inc()
}

var runLabels = map[wirepb.Run]string{
	wirepb.Run_RUN_NOT_RUN: "NotRun", wirepb.Run_RUN_UNKNOWN: "Unknown", wirepb.Run_RUN_RAN: "Ran",
}

// WriteMetrics writes the entry's metrics in the text format of Prometheus.
func (e *Entry) WriteMetrics(to io.Writer) { e.count.set.WritePrometheus(to) }
