package consensus

type readRequest struct{ from, token uint64 }

// readQueue holds the reads that wait for proof that this member is still the leader.
type readQueue struct {
	// waiting reads are not assigned to a heartbeat round yet.
	waiting []readRequest
	// pending reads wait for a quorum to answer the heartbeats of their round.
	pending []readRequest
	round   uint64
	index   uint64
}

// Read requests an index that covers everything committed so far; the result is returned in a Ready under the token. It
// fails with ErrNotLeader if no leader is known, or with ErrBusy.
func (c *Core) Read(token uint64) error {
	if c.role != RoleLeader {
		if c.leader == 0 {
			return ErrNotLeader{}
		}
		c.send(Message{Kind: KindRead, To: c.leader, Token: token})
		return nil
	}
	if !c.onRead(readRequest{from: c.id, token: token}) {
		return ErrBusy{Queue: "reads", Limit: c.config.Limits.PendingReads}
	}
	return nil
}

func (c *Core) onRead(r readRequest) bool {
	if len(c.reads.waiting)+len(c.reads.pending) >= c.config.Limits.PendingReads {
		return false
	}
	c.reads.waiting = append(c.reads.waiting, r)
	c.startReadRound()
	return true
}

// startReadRound starts a heartbeat round for the waiting reads unless one is in progress.
func (c *Core) startReadRound() {
	if len(c.reads.waiting) > 0 && len(c.reads.pending) == 0 && c.hasCommittedInTerm() {
		c.broadcastHeartbeat()
	}
}

// assignReadsToRound assigns the waiting reads to the heartbeat round that is starting.
func (c *Core) assignReadsToRound() {
	if len(c.reads.pending) > 0 || len(c.reads.waiting) == 0 || !c.hasCommittedInTerm() {
		return
	}
	c.reads.pending, c.reads.waiting = c.reads.waiting, nil
	c.reads.round, c.reads.index = c.round, c.log.committed
}

// hasCommittedInTerm reports whether an entry of the current term is committed. Only then does the leader know which
// entries earlier leaders committed.
func (c *Core) hasCommittedInTerm() bool { return c.log.matches(c.log.committed, c.term) }

func (c *Core) confirmReads() {
	if len(c.reads.pending) == 0 {
		return
	}
	answered := c.configuration().quorumValue(func(id uint64) uint64 {
		if id == c.id {
			return c.round
		}
		return c.peers[id].ackedRound
	})
	if answered < c.reads.round {
		return
	}
	for _, r := range c.reads.pending {
		c.completeRead(r, ReadState{Token: r.token, Index: c.reads.index})
	}
	c.reads.pending = nil
	c.startReadRound()
}

func (c *Core) completeRead(r readRequest, state ReadState) {
	if r.from == c.id {
		c.outbox.readStates = append(c.outbox.readStates, state)
		return
	}
	c.send(Message{Kind: KindReadReply, To: r.from, Token: r.token, Index: state.Index, Reject: state.Failed})
}

func (c *Core) onReadReply(m Message) {
	c.outbox.readStates = append(c.outbox.readStates, ReadState{Token: m.Token, Index: m.Index, Failed: m.Reject})
}

// failReads fails the reads of this member and drops those of other members, which retry them.
func (c *Core) failReads() {
	for _, r := range append(c.reads.pending, c.reads.waiting...) {
		if r.from == c.id {
			c.outbox.readStates = append(c.outbox.readStates, ReadState{Token: r.token, Failed: true})
		}
	}
	c.reads = readQueue{}
}
