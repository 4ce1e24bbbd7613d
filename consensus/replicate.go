package consensus

import "bytes"

// appendAsLeader appends a new entry as the leader and replicates it.
func (c *Core) appendAsLeader(e Entry) {
	if c.role != RoleLeader {
		c.failInvariant("only leaders append their own entries", c.log.lastIndex(), "")
	}
	for _, p := range c.peers {
		if p.match == c.log.lastIndex() {
			p.progressTick = c.tick
		}
	}
	e.Term, e.Index = c.term, c.log.lastIndex()+1
	c.log.append(e)
	if e.Kind == EntryConfiguration {
		c.updatePeers()
	}
	for _, peer := range c.peerIDs() {
		c.replicate(peer, false)
	}
}

// updatePeers aligns the tracked peers with the configuration that was appended last.
func (c *Core) updatePeers() {
	peers := map[uint64]*progress{}
	for _, peer := range c.peerIDs() {
		if peers[peer] = c.peers[peer]; peers[peer] == nil {
			peers[peer] = &progress{next: c.log.lastIndex(), lastReceivedTick: c.tick, progressTick: c.tick}
		}
	}
	c.peers = peers
}

// replicate sends a peer the entries it lacks, as far as the limits permit; sendEmpty sends a message even if there are
// none.
func (c *Core) replicate(peer uint64, sendEmpty bool) {
	p := c.peers[peer]
	for p.state != PeerSnapshotting {
		previous := p.next - 1
		term, available := c.log.term(previous)
		if !available {
			p.becomeSnapshotting(c.snapshot)
			c.sendChunk(peer, p)
			return
		}
		var entries []Entry
		if paused := p.state == PeerProbing && p.probeSent || p.state == PeerReplicating && p.inflightFull(c.config.Limits); !paused {
			entries = c.log.slice(p.next, c.log.lastIndex(), c.config.Limits.AppendBytes)
		}
		if len(entries) == 0 && !sendEmpty {
			return
		}
		sendEmpty = false
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
		p.recordSent(previous+uint64(len(entries)), size)
	}
}

// broadcastHeartbeat starts a heartbeat round, which proves the quorum and confirms reads.
func (c *Core) broadcastHeartbeat() {
	c.round++
	c.assignReadsToRound()
	age, absences := c.ProofAge(), c.currentAbsences()
	for _, peer := range c.peerIDs() {
		p := c.peers[peer]
		c.send(Message{
			Kind: KindHeartbeat, To: peer, Round: c.round, SentTick: c.tick, EchoTick: p.echoTick, ProofAge: age,
			Commit: min(p.match, c.log.committed), Absences: absences,
		})
		if p.state == PeerSnapshotting && c.tick-p.chunkTick >= c.config.ElectionTicks {
			c.sendChunk(peer, p)
		}
	}
	c.confirmReads()
}

func (c *Core) onHeartbeatReply(m Message, p *progress) {
	if m.SentTick >= p.ackedHeartbeatTick && m.SentTick <= c.tick {
		p.ackedHeartbeatTick, p.echoTick = m.SentTick, m.EchoTick
	}
	p.ackedRound = max(p.ackedRound, min(m.Round, c.round))
	c.confirmReads()
	p.probeSent = false
	if p.match < c.log.lastIndex() {
		c.replicate(m.From, true)
	}
}

func (c *Core) onAppendReply(m Message, p *progress) {
	if m.Reject {
		c.onAppendRejected(m, p)
		return
	}
	if m.Index > c.log.lastIndex() {
		c.failInvariant("log matching", m.Index, "member "+formatID(m.From)+" acknowledges entries that its leader has not")
	}
	if m.Index < p.match || m.Index == p.match && p.state == PeerReplicating {
		return
	}
	if m.Index > p.match {
		p.progressTick, p.inherited.StalledTicks = c.tick, 0
	}
	p.match = m.Index
	p.releaseInflight(m.Index)
	if p.state != PeerReplicating {
		p.becomeReplicating(m.Index + 1)
	}
	p.next = max(p.next, m.Index+1)
	if !c.advanceCommit() {
		c.replicate(m.From, false)
	}
	if c.role == RoleLeader {
		c.advanceTransfer(m.From)
	}
}

func (c *Core) onAppendRejected(m Message, p *progress) {
	stale := p.state == PeerSnapshotting || m.Index <= p.match || p.state == PeerProbing && m.Index != p.next-1
	if stale {
		return
	}
	next := p.match + 1
	if p.state == PeerProbing {
		hint := min(m.Hint, m.Index-1)
		for hint > p.match {
			term, available := c.log.term(hint)
			if !available || term <= m.LogTerm {
				break
			}
			hint--
		}
		next = hint + 1
	}
	p.becomeProbing(next)
	c.replicate(m.From, true)
}

// advanceCommit commits the entries of the current term that a quorum holds; it reports whether the commit index moved.
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
		c.abdicate()
		return true
	}
	c.completeChange()
	for _, peer := range c.peerIDs() {
		c.replicate(peer, true)
	}
	c.AnswerDepartures()
	c.startReadRound()
	return true
}

func (c *Core) commitTo(index uint64) {
	if index > c.log.lastIndex() {
		c.failInvariant("no committed entry is lost", index, "the log ends at "+formatNumber(c.log.lastIndex()))
	}
	c.log.committed = max(c.log.committed, index)
}

func (c *Core) onAppend(m Message) {
	if m.Index < c.log.committed {
		c.send(Message{Kind: KindAppendReply, To: m.From, Index: c.log.committed})
		return
	}
	if !c.log.matches(m.Index, m.LogTerm) {
		hint := min(m.Index, c.log.lastIndex())
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
			c.checkEntryMatches(e)
			continue
		}
		c.replaceTail(m.Entries[i:])
		break
	}
	last := m.Index + uint64(len(m.Entries))
	if commit := min(m.Commit, last); commit > c.log.committed {
		c.commitTo(commit)
	}
	c.send(Message{Kind: KindAppendReply, To: m.From, Index: last})
}

// checkEntryMatches asserts the log matching property: entries with the same index and term are identical.
func (c *Core) checkEntryMatches(e Entry) {
	if own := c.log.entryAt(e.Index); own.Kind != e.Kind || !bytes.Equal(own.Data, e.Data) {
		c.failInvariant("log matching", e.Index, "two entries of term "+formatNumber(e.Term))
	}
}

// replaceTail appends entries from the leader, replacing the conflicting tail of the log.
func (c *Core) replaceTail(entries []Entry) {
	first := entries[0].Index
	if first <= c.log.committed {
		c.failInvariant("no committed entry is lost", first, "overwritten, with "+formatNumber(c.log.committed)+" committed")
	}
	if first <= c.log.lastIndex() {
		c.log.truncate(first)
		c.outbox.limitPendingWrites(first - 1)
	}
	for _, e := range entries {
		c.log.append(e)
	}
}

func (c *Core) onHeartbeat(m Message) {
	if m.Commit > c.log.committed {
		c.commitTo(m.Commit)
	}
	c.absences, c.absencesTick = m.Absences, c.tick
	// The leader sent this heartbeat after it received the echoed tick, so its quorum was proven at EchoTick - ProofAge
	// or later.
	if m.ProofAge != NoProof && m.EchoTick != 0 && m.EchoTick <= c.tick && m.ProofAge < m.EchoTick {
		c.leaderProofTick = max(c.leaderProofTick, m.EchoTick-m.ProofAge)
	}
	c.send(Message{Kind: KindHeartbeatReply, To: m.From, Round: m.Round, SentTick: m.SentTick, EchoTick: c.tick})
}
