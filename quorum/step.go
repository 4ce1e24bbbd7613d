package quorum

import (
	"context"
	"sync/atomic"
	"time"

	"burdocksaddle/consensus"
	"burdocksaddle/storage"
)

type outcome struct {
	value any
	err   error
}

// proposal is decided once the step loop takes it or its caller gives it up.
type proposal struct {
	command []byte
	result  chan outcome
	decided atomic.Bool
	term    uint64
}

type reader struct {
	ctx    context.Context
	result chan uint64
}

// arrival is a message with the address of its sender.
type arrival struct {
	message consensus.Message
	address string
}

// request asks the step loop for what only the core can decide; answer has room for one error.
type request struct {
	transfer  bool
	join      *consensus.Member
	bootstrap *consensus.Configuration
	answer    chan error
}

const (
	// maxReaders bounds the reads that wait here.
	maxReaders = 4096
	// readRetryTicks is when an unanswered read is asked again.
	readRetryTicks = 5
	// maxCatchUpTicks bounds the ticks made up after a pause; all leases are over by then.
	maxCatchUpTicks = 100
	// messageBurst is how many messages are taken in before the next Ready.
	messageBurst = 64
)

// stepper is the state of the step loop.
type stepper struct {
	*Log
	started time.Time
	ticks   int64
	waiting map[uint64]*proposal
	// readers wait to be asked for, asked for those under the token.
	readers, asked []*reader
	token          uint64
	askedTick      int64
	writing        []write
	applying       []work
	led            bool
}

func (l *Log) stepLoop(ctx context.Context) error {
	s := &stepper{Log: l, started: time.Now(), waiting: map[uint64]*proposal{}}
	ticker := time.NewTicker(l.tick)
	defer ticker.Stop()
	for {
		s.pump(ctx)
		writes, nextWrite := s.nextWrite()
		applies, nextWork := s.nextWork()
		proposals := l.proposals
		if writes != nil || applies != nil {
			proposals = nil // what is taken in waits for what is under way
		}
		select {
		case <-ctx.Done():
			s.giveUp()
			return nil
		case <-ticker.C:
		case a := <-l.inbox:
			s.takeMessages(a)
		case p := <-proposals:
			s.propose(p)
		case r := <-l.reads:
			s.read(r)
		case r := <-l.requests:
			r.answer <- s.serve(r)
		case sequence := <-l.persisted:
			l.core.Persisted(sequence)
		case t := <-l.taken:
			s.compact(t)
		case writes <- nextWrite:
			s.writing = s.writing[1:]
		case applies <- nextWork:
			s.applying = s.applying[1:]
		}
		s.catchUp()
	}
}

func (s *stepper) nextWrite() (chan<- write, write) {
	if len(s.writing) == 0 {
		return nil, write{}
	}
	return s.writes, s.writing[0]
}

func (s *stepper) nextWork() (chan<- work, work) {
	if len(s.applying) == 0 {
		return nil, work{}
	}
	return s.applies, s.applying[0]
}

// catchUp ticks as often as the clock says, also after a pause of the process.
func (s *stepper) catchUp() {
	due := int64(time.Since(s.started) / s.tick)
	if due == s.ticks {
		return
	}
	s.ticks = max(s.ticks, due-maxCatchUpTicks)
	for ; s.ticks < due; s.ticks++ {
		s.core.Tick()
	}
	s.retryReads()
	s.repair()
	s.publish()
}

func (s *stepper) takeMessages(a arrival) {
	for range messageBurst {
		s.peers.learn(a.message.From, a.address)
		s.core.Step(a.message)
		select {
		case a = <-s.inbox:
		default:
			return
		}
	}
}

// repair makes the next change of the members that the leader should make.
func (s *stepper) repair() {
	status := s.core.Status()
	if status.Role != consensus.RoleLeader {
		return
	}
	if change, ok := consensus.Repair(status, uint64(s.config.ReplaceAfter/s.tick)); ok {
		err := s.core.ProposeChange(change)
		s.log.Info("change of the members", "kind", change.Kind, "name", change.Member.Name, "member", change.Member.ID, "error", err)
	}
}

func (s *stepper) propose(p *proposal) {
	if !p.decided.CompareAndSwap(false, true) {
		return
	}
	index, term, err := s.core.Propose(p.command)
	switch {
	case err == nil:
		p.term, s.waiting[index] = term, p
	case consensus.IsErrNotLeader(err):
		address, _ := s.Leader()
		p.result <- outcome{err: ErrNotLeader{LeaderAddress: address}}
	default:
		p.result <- outcome{err: ErrNeverCommitted{Reason: err.Error()}}
	}
}

func (s *stepper) serve(r request) error {
	status := s.core.Status()
	switch {
	case r.bootstrap != nil:
		return s.core.Bootstrap(*r.bootstrap)
	case status.Role != consensus.RoleLeader:
		return ErrNotLeader{LeaderAddress: s.peers.address(status.Configuration, status.Leader)}
	case r.transfer:
		return s.transfer(status)
	}
	known, ok := status.Configuration.Member(r.join.ID)
	switch {
	case !ok:
		return s.core.ProposeChange(consensus.Change{Kind: consensus.ChangeAddLearner, Member: *r.join})
	case known.Address != r.join.Address:
		return s.core.ProposeChange(consensus.Change{Kind: consensus.ChangeAddress, Member: *r.join})
	}
	return nil
}

func (s *stepper) transfer(status consensus.Status) error {
	var best consensus.PeerStatus
	for _, p := range status.Peers {
		if p.Voter && p.ID != status.ID && p.SilentTicks < silentTicks && (best.ID == 0 || p.Match > best.Match) {
			best = p
		}
	}
	if best.ID == 0 {
		return ErrNoQuorum{Reason: "no other voter is heard"}
	}
	return s.core.Transfer(best.ID)
}

// pump does what the core asks for until something waits for the disk or the apply loop.
func (s *stepper) pump(ctx context.Context) {
	for len(s.writing) == 0 && len(s.applying) == 0 {
		r, ok := s.core.Ready()
		if !ok {
			break
		}
		if r.Sequence != 0 {
			batch := storage.Batch{Install: r.Install, Hard: r.Hard, Entries: r.Entries}
			s.writing = append(s.writing, write{sequence: r.Sequence, batch: batch})
		}
		configuration := s.core.Status().Configuration
		for _, m := range r.Messages {
			s.peers.send(ctx, configuration, m)
		}
		s.queueApply(r)
		for _, read := range r.Reads {
			s.answer(read)
		}
	}
	v := s.view.Load()
	status := s.core.Status()
	if v.status.Role != status.Role || v.status.Term != status.Term || v.status.Leader != status.Leader || v.status.Committed != status.Committed {
		s.publish()
	}
	if leads := status.Role == consensus.RoleLeader; leads != s.led {
		s.led = leads
		s.log.Info("role changed", "member", s.id, "leader", leads, "term", status.Term)
	}
}

// queueApply hands committed entries to the apply loop, with who waits for them.
func (s *stepper) queueApply(r consensus.Ready) {
	if r.Restore != nil {
		for index, p := range s.waiting {
			if index <= r.Restore.Index {
				delete(s.waiting, index)
				p.result <- outcome{err: ErrOutcomeUnknown{Reason: "a snapshot replaced the log"}}
			}
		}
	}
	if r.Restore == nil && len(r.Committed) == 0 {
		return
	}
	w := work{restore: r.Restore, entries: r.Committed, waiting: make([]*proposal, len(r.Committed))}
	for i, e := range r.Committed {
		p := s.waiting[e.Index]
		if p == nil {
			continue
		}
		delete(s.waiting, e.Index)
		if p.term != e.Term {
			p.result <- outcome{err: ErrNeverCommitted{Reason: "another leader's entry took its place"}}
			continue
		}
		w.waiting[i] = p
	}
	s.applying = append(s.applying, w)
}

// compact takes in a snapshot that the apply loop made.
func (s *stepper) compact(t taken) {
	snapshot, ok := s.core.SnapshotAt(t.index, t.state)
	if !ok {
		return // a leader's snapshot came between
	}
	s.core.Compact(snapshot)
	s.writing = append(s.writing, write{snapshot: &snapshot})
}

// giveUp answers everyone who waits when the role ends.
func (s *stepper) giveUp() {
	for _, p := range s.waiting {
		p.result <- outcome{err: ErrOutcomeUnknown{Reason: "the member stopped"}}
	}
}
