package consensus

// campaign requests votes for the next term, or pre-votes if role is RolePreCandidate.
func (c *Core) campaign(role Role, transfer bool) {
	c.role, c.leader, c.votes = role, 0, map[uint64]bool{c.id: true}
	kind, term := KindPreVote, c.term+1
	if role == RoleCandidate {
		c.term, c.vote = term, c.id
		c.incoming = incomingSnapshot{}
		kind, c.campaignTick = KindVote, c.tick
		// A candidate that wins later than this could not renew its lease before the voters' election timers expire.
		c.electionTimerTick, c.electionTimeout = c.tick, c.config.LeaseTicks/2+c.random.Uint64N(c.config.LeaseTicks/2)
	}
	for _, voter := range c.configuration().Voters() {
		if voter != c.id {
			c.send(Message{Kind: kind, To: voter, Term: term, Index: c.log.lastIndex(), LogTerm: c.log.lastTerm(), Transfer: transfer})
		}
	}
	c.countVotes()
}

func (c *Core) onPreVote(m Message) {
	grant := m.Term > c.term && !c.hasActiveLeader() && c.log.upToDate(m.Index, m.LogTerm)
	term := c.term
	if grant {
		term = m.Term
	}
	c.send(Message{Kind: KindPreVoteReply, To: m.From, Term: term, Reject: !grant})
}

func (c *Core) onVote(m Message) {
	grant := (c.vote == 0 || c.vote == m.From) && c.knownLeaderTerm != c.term && c.log.upToDate(m.Index, m.LogTerm)
	if grant {
		c.vote = m.From
		c.resetTimer()
	}
	c.send(Message{Kind: KindVoteReply, To: m.From, Reject: !grant})
}

func (c *Core) onVoteReply(m Message, role Role, grant bool) {
	if c.role != role || !grant {
		return
	}
	c.votes[m.From] = true
	c.countVotes()
}

func (c *Core) countVotes() {
	switch {
	case !c.configuration().HasQuorum(c.votes):
	case c.role == RolePreCandidate:
		c.campaign(RoleCandidate, false)
	default:
		c.becomeLeader()
	}
}

func (c *Core) onTimeoutNow(m Message) {
	c.absences, c.absencesTick = m.Absences, c.tick
	if c.role == RoleFollower && c.configuration().IsVoter(c.id) {
		c.campaign(RoleCandidate, true)
	}
}

func (c *Core) becomeLeader() {
	if c.knownLeaderTerm == c.term {
		c.failInvariant("one leader a term", 0, "won the term of "+formatID(c.knownLeader))
	}
	if c.log.lastIndex() < c.log.committed {
		c.failInvariant("no committed entry is lost", c.log.lastIndex(), "elected with "+formatNumber(c.log.committed)+" committed")
	}
	c.role, c.leader, c.knownLeaderTerm, c.knownLeader = RoleLeader, c.id, c.term, c.id
	c.transferee, c.reads, c.round = 0, readQueue{}, 0
	c.leaderContactTick = c.tick
	c.peers = map[uint64]*progress{}
	for _, peer := range c.peerIDs() {
		c.peers[peer] = &progress{next: c.log.lastIndex() + 1, lastReceivedTick: c.tick, progressTick: c.tick}
	}
	c.electedTick = c.tick
	c.inheritAbsences()
	c.appendAsLeader(Entry{Kind: EntryEmpty})
	c.broadcastHeartbeat()
}

// quorumProofTick returns the tick at which a quorum is known to have followed this leader, or 0 before the first
// heartbeat reply. Votes are not a proof: a voter may grant its next vote right after this one, whereas a follower
// waits.
func (c *Core) quorumProofTick() uint64 {
	return c.configuration().quorumValue(func(id uint64) uint64 {
		if id == c.id {
			return c.tick
		}
		return c.peers[id].ackedHeartbeatTick
	})
}

// ProofAge returns the number of ticks since this member, or the leader according to its heartbeats, is proven to have
// had a quorum, or NoProof without a proof.
func (c *Core) ProofAge() uint64 {
	proof := c.leaderProofTick
	if c.role == RoleLeader {
		proof = c.quorumProofTick()
	}
	if proof == 0 || proof > c.tick {
		return NoProof
	}
	return c.tick - proof
}

func (c *Core) tickLeader() {
	if c.tick-max(c.quorumProofTick(), c.campaignTick) >= c.config.LeaseTicks {
		c.becomeFollower(c.term, 0)
		return
	}
	if c.transferee != 0 && c.tick-c.transferTick >= c.config.ElectionTicks {
		c.transferee = 0
	}
	c.completeChange()
	if c.tick%c.config.HeartbeatTicks == 0 {
		c.broadcastHeartbeat()
	}
}

// abdicate ends the leadership of a member that is no voter any more, and has the voter that holds most entries take over.
func (c *Core) abdicate() {
	var best uint64
	for _, id := range c.configuration().Voters() {
		if best == 0 || c.peers[id].match > c.peers[best].match {
			best = id
		}
	}
	c.send(Message{Kind: KindTimeoutNow, To: best, Absences: c.currentAbsences()})
	c.becomeFollower(c.term, 0)
}

// Transfer starts a leadership transfer to a voter; it fails with ErrNotLeader, ErrTransferring or ErrChangeRefused.
func (c *Core) Transfer(to uint64) error {
	switch {
	case c.role != RoleLeader:
		return ErrNotLeader{Leader: c.leader}
	case c.transferee != 0:
		return ErrTransferring{To: c.transferee}
	}
	if m, _ := c.configuration().Member(to); to == c.id || !m.RetainsVote() {
		return ErrChangeRefused{Member: to, Reason: "the target is not another voter that keeps its vote"}
	}
	c.transferee, c.transferTick = to, c.tick
	c.advanceTransfer(to)
	return nil
}

func (c *Core) advanceTransfer(peer uint64) {
	if c.transferee != peer {
		return
	}
	if p := c.peers[peer]; p != nil && p.match == c.log.lastIndex() {
		c.send(Message{Kind: KindTimeoutNow, To: peer, Absences: c.currentAbsences()})
		return
	}
	c.replicate(peer, false)
}
