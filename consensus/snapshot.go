package consensus

// incomingSnapshot is a snapshot that is being received in chunks.
type incomingSnapshot struct {
	index, term uint64
	state       []byte
}

// sendChunk sends the next chunk of a snapshot; one chunk per peer is in flight at a time.
func (c *Core) sendChunk(peer uint64, p *progress) {
	end := min(p.snapshotOffset+uint64(c.config.Limits.ChunkBytes), uint64(len(p.snapshot.State)))
	p.chunkTick = c.tick
	c.send(Message{
		Kind: KindSnapshot, To: peer, Index: p.snapshot.Index, LogTerm: p.snapshot.Term,
		Configuration: p.snapshot.Configuration, Offset: p.snapshotOffset, Chunk: p.snapshot.State[p.snapshotOffset:end],
		LastChunk: end == uint64(len(p.snapshot.State)),
	})
}

func (c *Core) onSnapshotReply(m Message, p *progress) {
	if p.state != PeerSnapshotting || m.Index != p.snapshot.Index || m.Offset > uint64(len(p.snapshot.State)) {
		return
	}
	if m.Offset == p.snapshotOffset && m.Offset != 0 {
		return // duplicate reply; a lost chunk is resent with a later heartbeat
	}
	p.snapshotOffset, p.progressTick, p.inherited.StalledTicks = m.Offset, c.tick, 0
	c.sendChunk(m.From, p)
}

func (c *Core) onSnapshot(m Message) {
	if m.Index <= c.log.committed {
		c.send(Message{Kind: KindAppendReply, To: m.From, Index: c.log.committed})
		return
	}
	in := &c.incoming
	if in.index != m.Index || in.term != m.LogTerm {
		*in = incomingSnapshot{index: m.Index, term: m.LogTerm}
	}
	if uint64(len(in.state)) == m.Offset {
		in.state = append(in.state, m.Chunk...)
		if m.LastChunk {
			c.install(m, in.state)
			return
		}
	}
	c.send(Message{Kind: KindSnapshotReply, To: m.From, Index: m.Index, Offset: uint64(len(in.state))})
}

func (c *Core) install(m Message, state []byte) {
	c.incoming = incomingSnapshot{}
	if c.log.matches(m.Index, m.LogTerm) {
		c.commitTo(m.Index)
	} else {
		snapshot := Snapshot{Index: m.Index, Term: m.LogTerm, Configuration: m.Configuration, State: state}
		c.snapshot = snapshot
		c.log.restore(snapshot)
		c.outbox.limitPendingWrites(0)
		c.outbox.install = &snapshot
	}
	c.send(Message{Kind: KindAppendReply, To: m.From, Index: m.Index})
}
