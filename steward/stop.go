package steward

import "context"

// Drain makes the health check fail and operators' new calls be refused. Calls in progress go on.
func (s *Steward) Drain() {
	s.draining.Store(true)
	_, leads := s.quorumLog.Leader()
	s.log.Info("draining", "leads", leads)
}

// Draining reports whether the steward is about to stop.
func (s *Steward) Draining() bool { return s.draining.Load() }

// Leave prepares the group of stewards for the end of this one: a leader hands over the leadership, and a voter gives up its vote if another
// steward can take its place. It fails with the errors of quorum.Log.Leave.
func (s *Steward) Leave(ctx context.Context) error { return s.quorumLog.Leave(ctx) }
