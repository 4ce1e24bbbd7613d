package steward

// Drain makes the health check fail and operators' new calls be refused. Calls in progress go on.
func (s *Steward) Drain() {
	s.draining.Store(true)
	_, leads := s.quorumLog.Leader()
	s.log.Info("draining", "leads", leads)
}

// Draining reports whether the steward is about to stop.
func (s *Steward) Draining() bool { return s.draining.Load() }
