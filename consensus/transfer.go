package consensus

// incoming is a snapshot that arrives in chunks.
type incoming struct {
	index, term uint64
	state       []byte
}

// sendChunk sends the next part of a snapshot; one is in flight at a time.
func (c *Core) sendChunk(peer uint64, p *progress) {
	end := min(p.offset+uint64(c.config.Limits.ChunkBytes), uint64(len(p.snapshot.State)))
	p.chunkTick = c.tick
	c.send(Message{
		Kind: KindSnapshot, To: peer, Index: p.snapshot.Index, LogTerm: p.snapshot.Term,
		Configuration: p.snapshot.Configuration, Offset: p.offset, Chunk: p.snapshot.State[p.offset:end],
		LastChunk: end == uint64(len(p.snapshot.State)),
	})
}

func (c *Core) onSnapshotReply(m Message, p *progress) {
	if p.state != PeerSnapshotting || m.Index != p.snapshot.Index || m.Offset > uint64(len(p.snapshot.State)) {
		return
	}
	if m.Offset == p.offset && m.Offset != 0 {
		return // a duplicate; a lost chunk is sent again with a later heartbeat
	}
	p.offset = m.Offset
	c.sendChunk(m.From, p)
}

func (c *Core) onSnapshot(m Message) {
	if m.Index <= c.log.committed {
		c.send(Message{Kind: KindAppendReply, To: m.From, Index: c.log.committed})
		return
	}
	in := &c.incoming
	if in.index != m.Index || in.term != m.LogTerm {
		*in = incoming{index: m.Index, term: m.LogTerm}
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
	c.incoming = incoming{}
	if c.log.matches(m.Index, m.LogTerm) {
		c.commitTo(m.Index)
	} else {
		snapshot := Snapshot{Index: m.Index, Term: m.LogTerm, Configuration: m.Configuration, State: state}
		c.snapshot = snapshot
		c.log.restore(snapshot)
		c.out.capPending(0)
		c.out.install = &snapshot
	}
	c.send(Message{Kind: KindAppendReply, To: m.From, Index: m.Index})
}
