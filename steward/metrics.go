package steward

import (
	"errors"
	"fmt"
	"syscall"
	"time"

	"burdocksaddle/scaling"
	"burdocksaddle/storage"
)

// Metric names. Each label has a small, fixed set of values.
const (
	metricTableVersion       = "burdocksaddle_steward_table_version"
	metricLeads              = "burdocksaddle_steward_leads"
	metricTerm               = "burdocksaddle_steward_term"
	metricAppliedIndex       = "burdocksaddle_steward_applied_index"
	metricProofAge           = "burdocksaddle_steward_quorum_proof_age_seconds"
	metricMembers            = "burdocksaddle_steward_members"
	metricMemberLag          = "burdocksaddle_steward_member_lag_entries"
	metricReportingEndpoints = "burdocksaddle_steward_reporting_endpoints"
	metricSubscribers        = "burdocksaddle_steward_subscribers"
	metricHeldEndpoints      = "burdocksaddle_steward_held_endpoints"
	metricOrders             = "burdocksaddle_steward_orders_total"
	metricChanges            = "burdocksaddle_steward_changes_total"
	metricDiskWrite          = "burdocksaddle_steward_disk_write_seconds"
	metricDiskFailures       = "burdocksaddle_steward_disk_failures_total"
	metricWriteAge           = "burdocksaddle_steward_disk_write_age_seconds"
	metricLogBytes           = "burdocksaddle_steward_log_bytes"
	metricLogStopped         = "burdocksaddle_steward_log_stopped"
	metricChangeSeconds      = "burdocksaddle_steward_change_seconds"
	metricQuotaRequests      = "burdocksaddle_steward_quota_requests_total"
	metricPaces              = "burdocksaddle_steward_paces_total"
	metricSpeedChanges       = "burdocksaddle_steward_speed_changes_total"
	// maxProofAge is the reported age when there is no quorum proof.
	maxProofAge = time.Hour
)

// registerGauges registers the gauges that are computed when the metrics are read.
func (s *Steward) registerGauges() {
	s.metrics.NewGauge(metricTableVersion, s.withLock(func() float64 { return float64(s.tableVersion) }))
	s.metrics.NewGauge(metricReportingEndpoints, s.withLock(func() float64 { return float64(len(s.reports)) }))
	s.metrics.NewGauge(metricSubscribers, s.withLock(func() float64 { return float64(s.gatewayStreams) }))
	s.metrics.NewGauge(metricHeldEndpoints, s.withLock(func() float64 { return float64(len(s.held)) }))
	s.metrics.NewGauge(metricTerm, func() float64 { return float64(s.quorumLog.Term()) })
	s.metrics.NewGauge(metricAppliedIndex, func() float64 { return float64(s.quorumLog.Applied()) })
	s.metrics.NewGauge(metricProofAge, func() float64 { return min(s.quorumLog.QuorumProofAge(), maxProofAge).Seconds() })
	s.metrics.NewGauge(metricWriteAge, func() float64 { return s.quorumLog.WriteAge().Seconds() })
	s.metrics.NewGauge(metricLogBytes, func() float64 { return float64(s.quorumLog.DiskBytes()) })
	s.metrics.NewGauge(metricLogStopped, func() float64 {
		if s.quorumLog.Stopped() {
			return 1
		}
		return 0
	})
	s.metrics.NewGauge(metricMembers, func() float64 { return float64(len(s.quorumLog.Members())) })
	s.metrics.NewGauge(metricMemberLag, func() float64 {
		maxLag := uint64(0)
		for _, m := range s.quorumLog.Members() {
			maxLag = max(maxLag, m.Lag)
		}
		return float64(maxLag)
	})
	s.metrics.NewGauge(metricLeads, func() float64 {
		if _, self := s.quorumLog.Leader(); self {
			return 1
		}
		return 0
	})
}

func (s *Steward) withLock(read func() float64) func() float64 {
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
	s.metrics.GetOrCreateHistogram(metricChangeSeconds).UpdateDuration(began)
}

// countDiskFailure counts a failed write of the log by its step and the error of the operating system.
func (s *Steward) countDiskFailure(failed storage.ErrFailed) {
	cause := "other"
	var number syscall.Errno
	if errors.As(failed, &number) {
		cause = number.Error()
	}
	s.metrics.GetOrCreateCounter(fmt.Sprintf("%s{step=%q,cause=%q}", metricDiskFailures, failed.Step, cause)).Inc()
}
