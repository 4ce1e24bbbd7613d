package consensus

// campaign asks the voters for the term, or first whether they would give it.
func (c *Core) campaign(role Role, transfer bool) {
	c.role, c.leader, c.votes = role, 0, map[uint64]bool{c.id: true}
	kind, term := KindPreVote, c.term+1
	if role == RoleCandidate {
		c.term, c.vote = term, c.id
		c.incoming = incoming{}
		kind, c.campaignTick = KindVote, c.tick
		// A candidate that wins later than this could not keep its lease before the voters' timers run out.
		c.timerTick, c.timeout = c.tick, c.config.LeaseTicks/2+c.random.Uint64N(c.config.LeaseTicks/2)
	}
	for _, voter := range c.configuration().Voters() {
		if voter != c.id {
			c.send(Message{Kind: kind, To: voter, Term: term, Index: c.log.last(), LogTerm: c.log.lastTerm(), Transfer: transfer})
		}
	}
	c.countVotes()
}

func (c *Core) onPreVote(m Message) {
	grant := m.Term > c.term && !c.hearsLeader() && c.log.upToDate(m.Index, m.LogTerm)
	term := c.term
	if grant {
		term = m.Term
	}
	c.send(Message{Kind: KindPreVoteReply, To: m.From, Term: term, Reject: !grant})
}

func (c *Core) onVote(m Message) {
	grant := (c.vote == 0 || c.vote == m.From) && c.leaderTerm != c.term && c.log.upToDate(m.Index, m.LogTerm)
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
	won := c.configuration().quorumValue(func(id uint64) uint64 {
		if c.votes[id] {
			return 1
		}
		return 0
	})
	switch {
	case won == 0:
	case c.role == RolePreCandidate:
		c.campaign(RoleCandidate, false)
	default:
		c.becomeLeader()
	}
}

func (c *Core) onTimeoutNow() {
	if c.role == RoleFollower && c.configuration().IsVoter(c.id) {
		c.campaign(RoleCandidate, true)
	}
}

func (c *Core) becomeLeader() {
	if c.leaderTerm == c.term {
		c.broken("one leader a term", 0, "won the term of "+id(c.leaderOfTerm))
	}
	if c.log.last() < c.log.committed {
		c.broken("no committed entry is lost", c.log.last(), "elected with "+number(c.log.committed)+" committed")
	}
	c.role, c.leader, c.leaderTerm, c.leaderOfTerm = RoleLeader, c.id, c.term, c.id
	c.transferee, c.reads, c.round = 0, reads{}, 0
	c.contactTick = c.tick
	c.peers = map[uint64]*progress{}
	for _, peer := range c.peerIDs() {
		c.peers[peer] = &progress{next: c.log.last() + 1, heardTick: c.tick}
	}
	c.appendOwn(Entry{Kind: EntryEmpty})
	c.heartbeat()
}

// proofTick returns the tick at which a quorum is known to have followed this leader, 0 before the first heartbeat came
// back. Votes are no proof: a voter may give its next vote right after this one, a follower waits.
func (c *Core) proofTick() uint64 {
	return c.configuration().quorumValue(func(id uint64) uint64 {
		if id == c.id {
			return c.tick
		}
		return c.peers[id].ackTick
	})
}

// ProofAge returns how many ticks ago this member, or its leader as it told, is proven to have had a quorum; NoProof
// without any.
func (c *Core) ProofAge() uint64 {
	proof := c.leaderProof
	if c.role == RoleLeader {
		proof = c.proofTick()
	}
	if proof == 0 || proof > c.tick {
		return NoProof
	}
	return c.tick - proof
}

func (c *Core) tickLeader() {
	if c.tick-max(c.proofTick(), c.campaignTick) >= c.config.LeaseTicks {
		c.becomeFollower(c.term, 0)
		return
	}
	if c.transferee != 0 && c.tick-c.transferTick >= c.config.ElectionTicks {
		c.transferee = 0
	}
	if c.tick%c.config.HeartbeatTicks == 0 {
		c.heartbeat()
	}
}

// Transfer hands the lead to a voter; it fails with ErrNotLeader, ErrTransferring or ErrChangeRefused.
func (c *Core) Transfer(to uint64) error {
	switch {
	case c.role != RoleLeader:
		return ErrNotLeader{Leader: c.leader}
	case c.transferee != 0:
		return ErrTransferring{To: c.transferee}
	case to == c.id || !c.configuration().IsVoter(to):
		return ErrChangeRefused{Member: to, Reason: "not another voter"}
	}
	c.transferee, c.transferTick = to, c.tick
	c.finishTransfer(to)
	return nil
}

func (c *Core) finishTransfer(peer uint64) {
	if c.transferee != peer {
		return
	}
	if p := c.peers[peer]; p != nil && p.match == c.log.last() {
		c.send(Message{Kind: KindTimeoutNow, To: peer})
		return
	}
	c.replicate(peer, false)
}
