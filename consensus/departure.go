package consensus

import "slices"

// Departure is the state of a member that is about to stop.
type Departure uint8

// A member that is about to stop waits until it is no voter any more, or until its leader knows no member that can take its place.
const (
	DepartureNone Departure = iota
	DeparturePending
	DepartureReleased
	// DepartureIrreplaceable means that the member keeps its vote while it is away.
	DepartureIrreplaceable
)

// Leave announces that this member is about to stop. It continues to vote; Status reports when it may stop.
func (c *Core) Leave() {
	if c.departure != DepartureNone {
		return
	}
	c.departure = DeparturePending
	c.announceDeparture()
}

// announceDeparture tells the leader that this member is about to stop; it is repeated until the leader answers.
func (c *Core) announceDeparture() {
	if c.departure == DeparturePending && c.role != RoleLeader && c.leader != 0 {
		c.send(Message{Kind: KindLeave, To: c.leader, EchoTick: c.tick})
	}
}

// observeDeparture records whether a peer is about to stop. It is until it has started again: messages that it sent before may arrive late.
func (p *progress) observeDeparture(m Message) {
	if m.EchoTick == 0 {
		return // the message does not tell when the peer started
	}
	start := m.EchoTick >> startTickShift
	if m.Leaving {
		p.leaving, p.leavingStart = true, start
	} else if start != p.leavingStart {
		p.leaving = false
	}
}

func (c *Core) onLeaveReply(m Message) {
	if c.departure != DeparturePending || m.From != c.leader {
		return
	}
	c.departure = DepartureReleased
	if m.Reject {
		c.departure = DepartureIrreplaceable
	}
}

// AnswerDepartures tells live members that are about to stop whether they may, unless this leader has told them so already.
func (c *Core) AnswerDepartures() {
	if c.role != RoleLeader {
		return
	}
	for id, p := range c.peers {
		if !p.leaving || c.silentTicks(p) > liveSilenceTicks {
			continue
		}
		if answer := c.departureOf(id); answer != p.answered {
			c.answerDeparture(id, answer)
		}
	}
}

// answerDeparture tells a member that is about to stop whether it may. It sends nothing while that is not decided.
func (c *Core) answerDeparture(id uint64, answer Departure) {
	p := c.peers[id]
	p.answered = answer
	if p.answered != DeparturePending {
		c.send(Message{Kind: KindLeaveReply, To: id, Reject: p.answered == DepartureIrreplaceable})
	}
}

// departureOf returns whether a peer that is about to stop may do so. While the leadership is handed over this is left to the next leader,
// which has to know of each departure.
func (c *Core) departureOf(id uint64) Departure {
	if c.transferee != 0 {
		return DeparturePending
	}
	return c.Status().departureOf(id)
}

// departureOf returns whether a member that is about to stop may do so, as known by the leader.
func (s Status) departureOf(id uint64) Departure {
	switch voters := s.Configuration.Voters(); {
	case !s.ConfigurationCommitted:
		return DeparturePending
	case !s.Configuration.IsVoter(id):
		return DepartureReleased
	case len(voters) > max(1, int(s.Configuration.Target)) || s.hasSuccessor():
		return DeparturePending
	}
	return DepartureIrreplaceable
}

// Irreplaceable reports whether a leader that is about to stop knows no member that can take its place.
func (s Status) Irreplaceable() bool {
	return s.Role == RoleLeader && s.departureOf(s.ID) == DepartureIrreplaceable
}

// HasLearners reports whether the group has members that are no voters, or more voters than intended.
func (s Status) HasLearners() bool {
	voters := len(s.Configuration.Voters())
	return voters < len(s.Configuration.Members) || voters > max(1, int(s.Configuration.Target))
}

// hasSuccessor reports whether a live learner that stays can replace a voter, now or once it has caught up.
func (s Status) hasSuccessor() bool {
	return slices.ContainsFunc(s.Peers, func(p PeerStatus) bool { return !p.Voter && p.staysLive() })
}

// MayHandOver reports whether there is another live voter that stays, which can lead now or once it has answered this leader.
func (s Status) MayHandOver() bool {
	return slices.ContainsFunc(s.Peers, func(p PeerStatus) bool { return p.RetainsVote() && p.ID != s.ID && p.staysLive() })
}

// staysLive reports whether a peer is live and not about to stop.
func (p PeerStatus) staysLive() bool { return !p.Leaving && p.isLive() }

// HasDepartures reports whether this member leads, and it or another live member is about to stop.
func (c *Core) HasDepartures() bool {
	if c.role != RoleLeader {
		return false
	}
	if c.departure != DepartureNone {
		return true
	}
	for _, p := range c.peers {
		if p.leaving && c.silentTicks(p) <= liveSilenceTicks {
			return true
		}
	}
	return false
}

// NextHandOver returns the voter that a leader that is about to stop should transfer the leadership to, or false if there is none.
// A voter that is about to stop, too, is none, and neither is one that has not said yet whether it is: it has not caught up in this term.
func NextHandOver(s Status) (to uint64, ok bool) {
	if s.Role != RoleLeader || s.Departure == DepartureNone {
		return 0, false
	}
	var best PeerStatus
	for _, p := range s.Peers {
		if p.RetainsVote() && p.ID != s.ID && p.CaughtUp && p.staysLive() && (best.ID == 0 || p.Match > best.Match) {
			best = p
		}
	}
	return best.ID, best.ID != 0
}
