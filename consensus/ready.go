package consensus

// Ready is what the carrier has to do; its parts may be done at once but for Sequence.
type Ready struct {
	// Sequence is passed to Persisted once Install, Hard and Entries are on disk, in this order of Readies; 0 when there
	// is nothing to persist.
	Sequence uint64
	// Install is a leader's snapshot that replaces the log.
	Install *Snapshot
	Hard    *HardState
	Entries []Entry
	// Messages may leave now.
	Messages []Message
	// Restore is a snapshot on disk that replaces the applied state before Committed is applied.
	Restore   *Snapshot
	Committed []Entry
	Reads     []ReadState
}

// outbox collects what the next Ready gives out and holds messages back until what they rest on is on disk.
type outbox struct {
	// persisted is on disk, hard was given out to be written.
	persisted, hard HardState
	sequence        uint64
	pending         []pending
	install         *Snapshot
	restore         *Snapshot
	fresh           []Message
	released        []Message
	reads           []ReadState
}

// pending is one Ready that is being written.
type pending struct {
	sequence uint64
	hard     HardState
	last     uint64
	install  *Snapshot
	held     []Message
}

// capPending takes back what Readies under way would have made stable.
func (o *outbox) capPending(last uint64) {
	for i := range o.pending {
		o.pending[i].last = min(o.pending[i].last, last)
		if last == 0 {
			o.pending[i].install = nil
		}
	}
}

func (c *Core) send(m Message) {
	m.From = c.id
	if m.Term == 0 {
		m.Term = c.term
	}
	c.out.fresh = append(c.out.fresh, m)
}

// restsOnEntries tells whether a message speaks of entries or votes that must be on disk first.
func (m Message) restsOnEntries() bool {
	return m.Kind == KindAppendReply || m.Kind == KindVote || m.Kind == KindVoteReply || m.Kind == KindSnapshotReply
}

// Ready returns what there is to do, false if nothing.
func (c *Core) Ready() (Ready, bool) {
	o := &c.out
	hard := HardState{Term: c.term, Vote: c.vote}
	r := Ready{Install: o.install, Entries: c.log.slice(c.log.handed+1, c.log.last(), int(^uint(0)>>1)), Reads: o.reads}
	o.install, o.reads = nil, nil
	if r.Install != nil || len(r.Entries) > 0 || hard != o.hard {
		o.sequence++
		r.Sequence = o.sequence
		r.Hard = &HardState{Term: c.term, Vote: c.vote, Commit: c.log.committed}
		o.pending = append(o.pending, pending{sequence: o.sequence, hard: hard, last: c.log.last(), install: r.Install})
		o.hard, c.log.handed = hard, c.log.last()
	}
	c.holdBack()
	r.Messages, o.released = o.released, nil
	c.giveCommitted(&r)
	some := r.Sequence != 0 || len(r.Messages) > 0 || r.Restore != nil || len(r.Committed) > 0 || len(r.Reads) > 0
	return r, some
}

// holdBack keeps fresh messages until what they rest on is on disk; a leader's entries may travel before.
func (c *Core) holdBack() {
	o := &c.out
	for _, m := range o.fresh {
		waits := len(o.pending) > 0 && (m.restsOnEntries() || o.hard != o.persisted)
		if waits {
			last := &o.pending[len(o.pending)-1]
			last.held = append(last.held, m)
			continue
		}
		c.release(m)
	}
	o.fresh = nil
}

func (c *Core) giveCommitted(r *Ready) {
	r.Restore, c.out.restore = c.out.restore, nil
	upTo := min(c.log.committed, c.log.stable)
	if upTo <= c.log.given {
		return
	}
	r.Committed = c.log.slice(c.log.given+1, upTo, c.config.Limits.ApplyBytes)
	c.log.given += uint64(len(r.Committed))
}

// Persisted takes in that a Ready and those before it are on disk.
func (c *Core) Persisted(sequence uint64) {
	o := &c.out
	for len(o.pending) > 0 && o.pending[0].sequence <= sequence {
		done := o.pending[0]
		o.pending = o.pending[1:]
		o.persisted = done.hard
		c.log.stable = max(c.log.stable, done.last)
		if done.install != nil {
			o.restore = done.install
		}
		for _, m := range done.held {
			c.release(m)
		}
	}
	if c.role == RoleLeader {
		c.advanceCommit()
	}
}

// release lets a message go, and asserts that what it promises is on disk.
func (c *Core) release(m Message) {
	persisted := c.out.persisted
	if m.Term > persisted.Term && m.Kind != KindPreVote && m.Kind != KindPreVoteReply {
		c.broken("terms are on disk before they are sent", m.Index, "persisted "+number(persisted.Term))
	}
	switch {
	case m.Kind == KindVoteReply && !m.Reject && persisted.Term == m.Term && persisted.Vote != m.To:
		c.broken("votes are on disk before they are sent", 0, "persisted "+id(persisted.Vote)+" sent "+id(m.To))
	case m.Kind == KindVote && persisted.Term == m.Term && persisted.Vote != c.id:
		c.broken("votes are on disk before they are sent", 0, "own vote, persisted "+id(persisted.Vote))
	case m.Kind == KindAppendReply && !m.Reject && c.term == m.Term && c.log.stable < m.Index && m.Index > c.log.baseIndex:
		c.broken("entries are on disk before they are acknowledged", m.Index, "stable "+number(c.log.stable))
	}
	c.out.released = append(c.out.released, m)
}
