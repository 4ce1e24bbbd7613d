package consensus

// PeerStatus describes a member as seen by this one. Only a leader knows more about its peers than Member.
type PeerStatus struct {
	Member
	State PeerState
	Match uint64
	// SilentTicks is the time since the last message from the peer.
	SilentTicks uint64
	// StalledTicks is the time since a peer that lacks entries last acknowledged any, or 0 if it holds all of them.
	StalledTicks uint64
	// CaughtUp reports whether a learner may be promoted to voter.
	CaughtUp bool
	// Leaving reports whether the peer is about to stop, or has stopped after it said so.
	Leaving bool
}

// Status describes the state of a member at one point in time.
type Status struct {
	ID, Term, Leader uint64
	Role             Role
	Committed        uint64
	First, Last      uint64
	Stable           uint64
	Snapshot         uint64
	Configuration    Configuration
	// ConfigurationCommitted reports whether no membership change is in progress.
	ConfigurationCommitted bool
	ProofAge               uint64
	Departure              Departure
	Peers                  []PeerStatus
}

// Status returns the current state of this member.
func (c *Core) Status() Status {
	latest := c.log.configuration()
	s := Status{
		ID: c.id, Term: c.term, Leader: c.leader, Role: c.role, Committed: c.log.committed, First: c.log.baseIndex + 1,
		Last: c.log.lastIndex(), Stable: c.log.stable, Snapshot: c.snapshot.Index, Configuration: latest.configuration,
		ConfigurationCommitted: !c.changing(), ProofAge: c.ProofAge(),
		Departure: c.departure,
	}
	for _, m := range latest.configuration.Members {
		peer := PeerStatus{Member: m}
		if m.ID == c.id {
			peer.Match, peer.CaughtUp, peer.Leaving = c.log.stable, true, c.departure != DepartureNone
		} else if p := c.peers[m.ID]; p != nil {
			peer.State, peer.Match = p.state, p.match
			c.observe(&peer, p)
			peer.CaughtUp, peer.Leaving = c.caughtUp(m.ID), p.leaving
		}
		s.Peers = append(s.Peers, peer)
	}
	return s
}
