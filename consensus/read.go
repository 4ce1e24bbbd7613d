package consensus

type readRequest struct{ from, token uint64 }

// reads holds what waits for a proof that this member still leads.
type reads struct {
	waiting []readRequest
	// pending waits for a quorum to answer its round.
	pending []readRequest
	round   uint64
	index   uint64
}

// Read asks for an index that covers everything committed so far; the answer comes in a Ready under the token. It fails
// with ErrNotLeader while no leader is known, or with ErrBusy.
func (c *Core) Read(token uint64) error {
	if c.role != RoleLeader {
		if c.leader == 0 {
			return ErrNotLeader{}
		}
		c.send(Message{Kind: KindRead, To: c.leader, Token: token})
		return nil
	}
	if !c.onRead(readRequest{from: c.id, token: token}) {
		return ErrBusy{Queue: "reads", Limit: c.config.Limits.Reads}
	}
	return nil
}

func (c *Core) onRead(r readRequest) bool {
	if len(c.reads.waiting)+len(c.reads.pending) >= c.config.Limits.Reads {
		return false
	}
	c.reads.waiting = append(c.reads.waiting, r)
	c.startWaitingReads()
	return true
}

// startWaitingReads starts a round of its own for reads unless one is under way.
func (c *Core) startWaitingReads() {
	if len(c.reads.waiting) > 0 && len(c.reads.pending) == 0 && c.committedInTerm() {
		c.heartbeat()
	}
}

// startReads lets the waiting reads ride on the round that starts now.
func (c *Core) startReads() {
	if len(c.reads.pending) > 0 || len(c.reads.waiting) == 0 || !c.committedInTerm() {
		return
	}
	c.reads.pending, c.reads.waiting = c.reads.waiting, nil
	c.reads.round, c.reads.index = c.round, c.log.committed
}

// committedInTerm tells whether the leader knows what was committed before it.
func (c *Core) committedInTerm() bool { return c.log.matches(c.log.committed, c.term) }

func (c *Core) confirmReads() {
	if len(c.reads.pending) == 0 {
		return
	}
	answered := c.configuration().quorumValue(func(id uint64) uint64 {
		if id == c.id {
			return c.round
		}
		return c.peers[id].round
	})
	if answered < c.reads.round {
		return
	}
	for _, r := range c.reads.pending {
		c.answerRead(r, ReadState{Token: r.token, Index: c.reads.index})
	}
	c.reads.pending = nil
	c.startWaitingReads()
}

func (c *Core) answerRead(r readRequest, state ReadState) {
	if r.from == c.id {
		c.out.reads = append(c.out.reads, state)
		return
	}
	c.send(Message{Kind: KindReadReply, To: r.from, Token: r.token, Index: state.Index, Reject: state.Failed})
}

func (c *Core) onReadReply(m Message) {
	c.out.reads = append(c.out.reads, ReadState{Token: m.Token, Index: m.Index, Failed: m.Reject})
}

// failReads gives up the reads that wait here; whoever asked over the wire asks again.
func (c *Core) failReads() {
	for _, r := range append(c.reads.pending, c.reads.waiting...) {
		if r.from == c.id {
			c.out.reads = append(c.out.reads, ReadState{Token: r.token, Failed: true})
		}
	}
	c.reads = reads{}
}
