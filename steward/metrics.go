package steward

import (
	"fmt"
	"time"

	"burdocksaddle/scaling"
)

// Names of metrics; labels have few values.
const (
	metricTable     = "burdocksaddle_steward_table_version"
	metricLeads     = "burdocksaddle_steward_leads"
	metricTerm      = "burdocksaddle_steward_term"
	metricApplied   = "burdocksaddle_steward_applied_index"
	metricProofAge  = "burdocksaddle_steward_quorum_proof_age_seconds"
	metricMembers   = "burdocksaddle_steward_members"
	metricLag       = "burdocksaddle_steward_member_lag_entries"
	metricReports   = "burdocksaddle_steward_reporting_endpoints"
	metricStreams   = "burdocksaddle_steward_subscribers"
	metricHeld      = "burdocksaddle_steward_held_endpoints"
	metricOrders    = "burdocksaddle_steward_orders_total"
	metricChanges   = "burdocksaddle_steward_changes_total"
	metricDisk      = "burdocksaddle_steward_disk_write_seconds"
	metricChangeFor = "burdocksaddle_steward_change_seconds"
	// maxProofAge stands for no proof at all.
	maxProofAge = time.Hour
)

// registerGauges adds what is read when the metrics are.
func (s *Steward) registerGauges() {
	s.metrics.NewGauge(metricTable, s.locked(func() float64 { return float64(s.version) }))
	s.metrics.NewGauge(metricReports, s.locked(func() float64 { return float64(len(s.reports)) }))
	s.metrics.NewGauge(metricStreams, s.locked(func() float64 { return float64(s.gateways) }))
	s.metrics.NewGauge(metricHeld, s.locked(func() float64 { return float64(len(s.held)) }))
	s.metrics.NewGauge(metricTerm, func() float64 { return float64(s.shared.Term()) })
	s.metrics.NewGauge(metricApplied, func() float64 { return float64(s.shared.Applied()) })
	s.metrics.NewGauge(metricProofAge, func() float64 { return min(s.shared.Vouch(), maxProofAge).Seconds() })
	s.metrics.NewGauge(metricMembers, func() float64 { return float64(len(s.shared.Members())) })
	s.metrics.NewGauge(metricLag, func() float64 {
		most := uint64(0)
		for _, m := range s.shared.Members() {
			most = max(most, m.Lag)
		}
		return float64(most)
	})
	s.metrics.NewGauge(metricLeads, func() float64 {
		if _, self := s.shared.Leader(); self {
			return 1
		}
		return 0
	})
}

func (s *Steward) locked(read func() float64) func() float64 {
	return func() float64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return read()
	}
}

func (s *Steward) countOrder(o scaling.Order, outcome scaling.Outcome) {
	s.metrics.GetOrCreateCounter(fmt.Sprintf("%s{unload=\"%t\",source=%q,outcome=%q}", metricOrders, o.Unload, o.Source.String(), outcome.String())).Inc()
}

func (s *Steward) countChange(began time.Time, err error) {
	s.metrics.GetOrCreateCounter(fmt.Sprintf("%s{committed=\"%t\"}", metricChanges, err == nil)).Inc()
	s.metrics.GetOrCreateHistogram(metricChangeFor).UpdateDuration(began)
}
