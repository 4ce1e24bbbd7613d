package consensus

import "bytes"

// appendOwn appends a leader's own entry and sends it on.
func (c *Core) appendOwn(e Entry) {
	if c.role != RoleLeader {
		c.broken("only leaders append their own entries", c.log.last(), "")
	}
	e.Term, e.Index = c.term, c.log.last()+1
	c.log.append(e)
	if e.Kind == EntryConfiguration {
		c.adoptPeers()
	}
	for _, peer := range c.peerIDs() {
		c.replicate(peer, false)
	}
}

// adoptPeers follows the configuration that was appended last.
func (c *Core) adoptPeers() {
	peers := map[uint64]*progress{}
	for _, peer := range c.peerIDs() {
		if peers[peer] = c.peers[peer]; peers[peer] == nil {
			peers[peer] = &progress{next: c.log.last(), heardTick: c.tick}
		}
	}
	c.peers = peers
}

// replicate sends what a peer lacks as far as the limits let it, with an empty message if asked to.
func (c *Core) replicate(peer uint64, evenEmpty bool) {
	p := c.peers[peer]
	for p.state != PeerSnapshotting {
		previous := p.next - 1
		term, held := c.log.term(previous)
		if !held {
			p.startSnapshot(c.snapshot)
			c.sendChunk(peer, p)
			return
		}
		var entries []Entry
		if paused := p.state == PeerProbing && p.probeSent || p.state == PeerReplicating && p.full(c.config.Limits); !paused {
			entries = c.log.slice(p.next, c.log.last(), c.config.Limits.AppendBytes)
		}
		if len(entries) == 0 && !evenEmpty {
			return
		}
		evenEmpty = false
		c.send(Message{Kind: KindAppend, To: peer, Index: previous, LogTerm: term, Entries: entries, Commit: c.log.committed})
		if p.state == PeerProbing {
			p.probeSent = true
			return
		}
		if len(entries) == 0 {
			return
		}
		size := 0
		for _, e := range entries {
			size += len(e.Data)
		}
		p.sentUpTo(previous+uint64(len(entries)), size)
	}
}

// heartbeat starts a round that proves the quorum and lets reads through.
func (c *Core) heartbeat() {
	c.round++
	c.startReads()
	age := c.ProofAge()
	for _, peer := range c.peerIDs() {
		p := c.peers[peer]
		c.send(Message{
			Kind: KindHeartbeat, To: peer, Round: c.round, SentTick: c.tick, EchoTick: p.echoTick, ProofAge: age,
			Commit: min(p.match, c.log.committed),
		})
		if p.state == PeerSnapshotting && c.tick-p.chunkTick >= c.config.ElectionTicks {
			c.sendChunk(peer, p)
		}
	}
	c.confirmReads()
}

func (c *Core) onHeartbeatReply(m Message, p *progress) {
	if m.SentTick >= p.ackTick && m.SentTick <= c.tick {
		p.ackTick, p.echoTick = m.SentTick, m.EchoTick
	}
	p.round = max(p.round, min(m.Round, c.round))
	c.confirmReads()
	p.probeSent = false
	if p.match < c.log.last() {
		c.replicate(m.From, true)
	}
}

func (c *Core) onAppendReply(m Message, p *progress) {
	if m.Reject {
		c.onRejected(m, p)
		return
	}
	if m.Index > c.log.last() {
		c.broken("log matching", m.Index, "member "+id(m.From)+" acknowledges entries that its leader has not")
	}
	if m.Index < p.match || m.Index == p.match && p.state == PeerReplicating {
		return
	}
	p.match = m.Index
	p.acknowledged(m.Index)
	if p.state != PeerReplicating {
		p.replicateFrom(m.Index + 1)
	}
	p.next = max(p.next, m.Index+1)
	if !c.advanceCommit() {
		c.replicate(m.From, false)
	}
	if c.role == RoleLeader {
		c.finishTransfer(m.From)
	}
}

func (c *Core) onRejected(m Message, p *progress) {
	stale := p.state == PeerSnapshotting || m.Index <= p.match || p.state == PeerProbing && m.Index != p.next-1
	if stale {
		return
	}
	next := p.match + 1
	if p.state == PeerProbing {
		hint := min(m.Hint, m.Index-1)
		for hint > p.match {
			term, held := c.log.term(hint)
			if !held || term <= m.LogTerm {
				break
			}
			hint--
		}
		next = hint + 1
	}
	p.probeFrom(next)
	c.replicate(m.From, true)
}

// advanceCommit commits what a quorum holds of this term; it tells whether the commit moved.
func (c *Core) advanceCommit() bool {
	index := c.configuration().quorumValue(func(id uint64) uint64 {
		if id == c.id {
			return c.log.stable
		}
		return c.peers[id].match
	})
	if index <= c.log.committed || !c.log.matches(index, c.term) {
		return false
	}
	c.commitTo(index)
	if !c.configuration().IsVoter(c.id) && c.log.configuration().index <= index {
		c.becomeFollower(c.term, 0)
		return true
	}
	for _, peer := range c.peerIDs() {
		c.replicate(peer, true)
	}
	c.startWaitingReads()
	return true
}

func (c *Core) commitTo(index uint64) {
	if index > c.log.last() {
		c.broken("no committed entry is lost", index, "the log ends at "+number(c.log.last()))
	}
	c.log.committed = max(c.log.committed, index)
}

func (c *Core) onAppend(m Message) {
	if m.Index < c.log.committed {
		c.send(Message{Kind: KindAppendReply, To: m.From, Index: c.log.committed})
		return
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		hint := min(m.Index, c.log.last())
		for hint > c.log.committed {
			if term, _ := c.log.term(hint); term <= m.LogTerm {
				break
			}
			hint--
		}
		term, _ := c.log.term(hint)
		c.send(Message{Kind: KindAppendReply, To: m.From, Reject: true, Index: m.Index, Hint: hint, LogTerm: term})
		return
	}
	for i, e := range m.Entries {
		if c.log.matches(e.Index, e.Term) {
			c.checkSame(e)
			continue
		}
		c.appendFrom(m.Entries[i:])
		break
	}
	last := m.Index + uint64(len(m.Entries))
	if commit := min(m.Commit, last); commit > c.log.committed {
		c.commitTo(commit)
	}
	c.send(Message{Kind: KindAppendReply, To: m.From, Index: last})
}

// checkSame asserts log matching: one index and term name one entry.
func (c *Core) checkSame(e Entry) {
	if own := c.log.at(e.Index); own.Kind != e.Kind || !bytes.Equal(own.Data, e.Data) {
		c.broken("log matching", e.Index, "two entries of term "+number(e.Term))
	}
}

// appendFrom replaces the log's tail by a leader's entries.
func (c *Core) appendFrom(entries []Entry) {
	first := entries[0].Index
	if first <= c.log.committed {
		c.broken("no committed entry is lost", first, "overwritten, with "+number(c.log.committed)+" committed")
	}
	if first <= c.log.last() {
		c.log.truncate(first)
		c.out.capPending(first - 1)
	}
	for _, e := range entries {
		c.log.append(e)
	}
}

func (c *Core) onHeartbeat(m Message) {
	if m.Commit > c.log.committed {
		c.commitTo(m.Commit)
	}
	// The leader sent this after it had read the echoed tick, so its proof is no older than that.
	if m.ProofAge != NoProof && m.EchoTick != 0 && m.EchoTick <= c.tick && m.ProofAge < m.EchoTick {
		c.leaderProof = max(c.leaderProof, m.EchoTick-m.ProofAge)
	}
	c.send(Message{Kind: KindHeartbeatReply, To: m.From, Round: m.Round, SentTick: m.SentTick, EchoTick: c.tick})
}
