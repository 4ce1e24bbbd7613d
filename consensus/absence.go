package consensus

// Absence describes a member that is of no use for the quorum at the moment, or is about to stop. A leader sends them with its heartbeats and
// when it hands over, so that the time until a lost voter is replaced does not start again with each leader.
type Absence struct {
	Member                    uint64
	SilentTicks, StalledTicks uint64
	// Leaving reports whether the member announced that it was about to stop.
	Leaving bool
}

// currentAbsences returns the members that this leader does not hear from, or that are about to stop.
func (c *Core) currentAbsences() []Absence {
	var absences []Absence
	for _, id := range c.peerIDs() {
		p := c.peers[id]
		if p == nil {
			continue
		}
		a := Absence{Member: id, SilentTicks: c.silentTicks(p) + p.inherited.SilentTicks, Leaving: p.leaving}
		if stalled := c.stalledTicks(p); stalled > 0 {
			a.StalledTicks = stalled + p.inherited.StalledTicks
		}
		if max(a.SilentTicks, a.StalledTicks) > liveSilenceTicks || a.Leaving {
			absences = append(absences, a)
		}
	}
	return absences
}

// inheritAbsences applies what the previous leader told about absent members.
func (c *Core) inheritAbsences() {
	elapsed := c.tick - c.absencesTick
	for _, a := range c.absences {
		p := c.peers[a.Member]
		if p == nil {
			continue
		}
		p.inherited, p.leaving = a, a.Leaving
		if a.SilentTicks > liveSilenceTicks {
			p.inherited.SilentTicks += elapsed
		}
		if a.StalledTicks > liveSilenceTicks {
			p.inherited.StalledTicks += elapsed
		}
	}
}

// observe adds what a leader knows about a peer to its status. What the previous leader told is relied on once a live peer would have
// answered this one.
func (c *Core) observe(peer *PeerStatus, p *progress) {
	peer.SilentTicks, peer.StalledTicks = c.silentTicks(p), c.stalledTicks(p)
	if c.tick-c.electedTick <= liveSilenceTicks {
		return
	}
	peer.SilentTicks += p.inherited.SilentTicks
	if peer.StalledTicks > 0 {
		peer.StalledTicks += p.inherited.StalledTicks
	}
}

// silentTicks returns the time since this leader heard from a peer, or since its election.
func (c *Core) silentTicks(p *progress) uint64 { return c.tick - p.lastReceivedTick }

// stalledTicks returns for how long a peer that lacks entries has acknowledged none, or 0 if it holds all of them.
func (c *Core) stalledTicks(p *progress) uint64 {
	if p.match >= c.log.lastIndex() {
		return 0
	}
	return c.tick - p.progressTick
}
