package steward

import (
	"context"
	"time"
)

// handOverPollInterval is how often a steward that hands over the leadership checks whether the new leader has been elected.
const handOverPollInterval = 10 * time.Millisecond

// Drain makes the health check fail and operators' new calls be refused. Calls in progress go on.
func (s *Steward) Drain() {
	s.draining.Store(true)
	_, leads := s.quorumLog.Leader()
	s.log.Info("draining", "leads", leads)
}

// Draining reports whether the steward is about to stop.
func (s *Steward) Draining() bool { return s.draining.Load() }

// HandOver transfers the leadership to another steward, if this one leads, and returns once that one has been elected; it fails with the
// errors of quorum.Log.TransferLeader, or the context's.
func (s *Steward) HandOver(ctx context.Context) error {
	if _, leads := s.quorumLog.Leader(); !leads {
		return nil
	}
	if err := s.quorumLog.TransferLeader(ctx); err != nil {
		return err
	}
	ticker := time.NewTicker(handOverPollInterval)
	defer ticker.Stop()
	for {
		if address, _ := s.quorumLog.Leader(); address != "" {
			s.log.Info("leadership handed over", "leader", address)
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
