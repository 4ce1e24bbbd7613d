package consensus

// Ready contains the outstanding work of the core. Its parts may be processed concurrently, but Sequence must not be
// reported before the writes that it covers are done.
type Ready struct {
	// Sequence is passed to Persisted once Install, Hard and Entries are on disk. Readies are persisted in the order of
	// their sequences; 0 means that there is nothing to persist.
	Sequence uint64
	// Install is a snapshot from the leader that replaces the log.
	Install *Snapshot
	Hard    *HardState
	Entries []Entry
	// Messages can be sent immediately.
	Messages []Message
	// Restore is a snapshot on disk that replaces the applied state before Committed is applied.
	Restore   *Snapshot
	Committed []Entry
	Reads     []ReadState
}

// outbox collects the contents of the next Ready and holds messages back until the state they depend on is on disk.
type outbox struct {
	// persistedHard is the hard state on disk, issuedHard the last one handed out for writing.
	persistedHard, issuedHard HardState
	sequence                  uint64
	pendingWrites             []pendingWrite
	install                   *Snapshot
	restore                   *Snapshot
	queued                    []Message
	released                  []Message
	readStates                []ReadState
}

// pendingWrite is a Ready that is being written to disk.
type pendingWrite struct {
	sequence uint64
	hard     HardState
	last     uint64
	install  *Snapshot
	messages []Message
}

// limitPendingWrites keeps the writes in progress from marking entries after last as stable. If last is 0, their
// snapshots are dropped as well.
func (o *outbox) limitPendingWrites(last uint64) {
	for i := range o.pendingWrites {
		o.pendingWrites[i].last = min(o.pendingWrites[i].last, last)
		if last == 0 {
			o.pendingWrites[i].install = nil
		}
	}
}

func (c *Core) send(m Message) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.term
	}
	m.Leaving = c.departure != DepartureNone
	if len(c.outbox.queued) >= c.config.Limits.QueuedMessages {
		return
	}
	c.outbox.queued = append(c.outbox.queued, m)
}

// requiresDurability reports whether the message refers to entries or votes that must be on disk before it is sent.
func (m Message) requiresDurability() bool {
	return m.Kind == KindAppendReply || m.Kind == KindVote || m.Kind == KindVoteReply || m.Kind == KindSnapshotReply
}

// Ready returns the outstanding work, or false if there is none.
func (c *Core) Ready() (Ready, bool) {
	o := &c.outbox
	hard := HardState{Term: c.term, Vote: c.vote}
	r := Ready{Install: o.install, Entries: c.log.slice(c.log.issued+1, c.log.lastIndex(), int(^uint(0)>>1)), Reads: o.readStates}
	o.install, o.readStates = nil, nil
	if r.Install != nil || len(r.Entries) > 0 || hard != o.issuedHard {
		o.sequence++
		r.Sequence = o.sequence
		r.Hard = &HardState{Term: c.term, Vote: c.vote, Commit: c.log.committed}
		o.pendingWrites = append(o.pendingWrites, pendingWrite{sequence: o.sequence, hard: hard, last: c.log.lastIndex(), install: r.Install})
		o.issuedHard, c.log.issued = hard, c.log.lastIndex()
	}
	c.processQueued()
	r.Messages, o.released = o.released, nil
	c.takeCommitted(&r)
	hasWork := r.Sequence != 0 || len(r.Messages) > 0 || r.Restore != nil || len(r.Committed) > 0 || len(r.Reads) > 0
	return r, hasWork
}

// processQueued releases the queued messages, or holds them back until the state they depend on is on disk. A leader
// may send its entries before they are on disk.
func (c *Core) processQueued() {
	o := &c.outbox
	for _, m := range o.queued {
		mustWait := len(o.pendingWrites) > 0 && (m.requiresDurability() || o.issuedHard != o.persistedHard)
		if mustWait {
			if last := &o.pendingWrites[len(o.pendingWrites)-1]; len(last.messages) < c.config.Limits.QueuedMessages {
				last.messages = append(last.messages, m)
			}
			continue
		}
		c.release(m)
	}
	o.queued = nil
}

func (c *Core) takeCommitted(r *Ready) {
	r.Restore, c.outbox.restore = c.outbox.restore, nil
	// What a quorum holds may be applied before it is on this disk, but not before the snapshot that precedes it is restored.
	installing := c.log.stable < c.log.baseIndex
	if c.log.committed <= c.log.applying || installing {
		return
	}
	r.Committed = c.log.slice(c.log.applying+1, c.log.committed, c.config.Limits.ApplyBytes)
	c.log.applying += uint64(len(r.Committed))
}

// Persisted records that the Ready with the given sequence and all earlier ones are on disk.
func (c *Core) Persisted(sequence uint64) {
	o := &c.outbox
	for len(o.pendingWrites) > 0 && o.pendingWrites[0].sequence <= sequence {
		done := o.pendingWrites[0]
		o.pendingWrites = o.pendingWrites[1:]
		o.persistedHard = done.hard
		c.log.stable = max(c.log.stable, done.last)
		if done.install != nil {
			o.restore = done.install
		}
		for _, m := range done.messages {
			c.release(m)
		}
	}
	if c.role == RoleLeader {
		c.advanceCommit()
	}
}

// release allows a message to be sent, after asserting that what it promises is on disk.
func (c *Core) release(m Message) {
	persisted := c.outbox.persistedHard
	if m.Term > persisted.Term && m.Kind != KindPreVote && m.Kind != KindPreVoteReply {
		c.failInvariant("terms are on disk before they are sent", m.Index, "persisted "+formatNumber(persisted.Term))
	}
	switch {
	case m.Kind == KindVoteReply && !m.Reject && persisted.Term == m.Term && persisted.Vote != m.To:
		c.failInvariant("votes are on disk before they are sent", 0, "persisted "+formatID(persisted.Vote)+" sent "+formatID(m.To))
	case m.Kind == KindVote && persisted.Term == m.Term && persisted.Vote != c.id:
		c.failInvariant("votes are on disk before they are sent", 0, "own vote, persisted "+formatID(persisted.Vote))
	case m.Kind == KindAppendReply && !m.Reject && c.term == m.Term && c.log.stable < m.Index && m.Index > c.log.baseIndex:
		c.failInvariant("entries are on disk before they are acknowledged", m.Index, "stable "+formatNumber(c.log.stable))
	}
	c.outbox.released = append(c.outbox.released, m)
}
