package quorum

import (
	"context"
	"sync/atomic"
	"time"

	"burdocksaddle/consensus"
	"burdocksaddle/storage"
)

type proposalResult struct {
	value any
	err   error
}

// proposal is claimed either by the step loop when it processes it or by the proposer when it gives up.
type proposal struct {
	command []byte
	result  chan proposalResult
	claimed atomic.Bool
	term    uint64
}

type reader struct {
	ctx    context.Context
	result chan uint64
}

// inboundMessage is a message with the address of its sender.
type inboundMessage struct {
	message consensus.Message
	address string
}

// coreRequest is a request that the step loop has to make to the core; errc must have room for one error.
type coreRequest struct {
	transfer  bool
	leave     bool
	join      *consensus.Member
	bootstrap *consensus.Configuration
	errc      chan error
}

const (
	// maxPendingReaders limits the readers that wait in the step loop.
	maxPendingReaders = 4096
	// readRetryTicks is the time after which an unanswered read is retried.
	readRetryTicks = 5
	// maxCatchUpTicks limits the missed ticks that are processed after a pause; after a longer one all leases have
	// expired anyway.
	maxCatchUpTicks = 100
	// maxWriteTicks is how long after the others a leader may have an entry on its disk before it hands over the leadership, and how long a
	// write may take at a member that proves a quorum.
	maxWriteTicks = 20
	// maxMessageBatch limits the messages processed before the next Ready.
	maxMessageBatch = 64
)

// stepper is the state of the step loop.
type stepper struct {
	*Log
	started          time.Time
	ticks            int64
	pendingProposals map[uint64]*proposal
	// queuedReaders wait for the next core read, activeReaders for the one identified by readToken.
	queuedReaders, activeReaders []*reader
	readToken                    uint64
	readRequestTick              int64
	pendingWrites                []write
	pendingTasks                 []applyTask
	wasLeader                    bool
	// awaitedIndex is a committed entry that is not known to be on this member's disk, awaitedSince the tick at which it was committed.
	awaitedIndex uint64
	awaitedSince int64
	// silentVoters are the voters that this leader has logged as silent.
	silentVoters map[uint64]bool
	// changeSince is the tick since which a membership change of this leader is not committed, or 0 if there is none.
	changeSince int64
}

func (l *Log) stepLoop(ctx context.Context) error {
	s := &stepper{Log: l, started: time.Now(), pendingProposals: map[uint64]*proposal{}, silentVoters: map[uint64]bool{}}
	ticker := time.NewTicker(l.tick)
	defer ticker.Stop()
	for {
		s.processReady(ctx)
		writes, nextWrite := s.nextWrite()
		applies, nextTask := s.nextApplyTask()
		proposals := l.proposals
		if writes != nil || applies != nil {
			proposals = nil // no proposals are accepted while writes or apply tasks are pending
		}
		select {
		case <-ctx.Done():
			s.failProposals()
			return nil
		case <-ticker.C:
		case a := <-l.inbox:
			s.stepMessages(a)
		case p := <-proposals:
			s.propose(p)
		case r := <-l.reads:
			s.enqueueReader(r)
		case r := <-l.requests:
			r.errc <- s.handleRequest(r)
		case sequence := <-l.persisted:
			l.core.Persisted(sequence)
		case t := <-l.snapshots:
			s.compact(t)
		case writes <- nextWrite:
			s.pendingWrites = s.pendingWrites[1:]
		case applies <- nextTask:
			s.pendingTasks = s.pendingTasks[1:]
		}
		s.advanceTicks()
		if s.core.HasDepartures() {
			s.leave()
			s.repair()
			s.core.AnswerDepartures()
		}
	}
}

func (s *stepper) nextWrite() (chan<- write, write) {
	if len(s.pendingWrites) == 0 {
		return nil, write{}
	}
	return s.writes, s.pendingWrites[0]
}

func (s *stepper) nextApplyTask() (chan<- applyTask, applyTask) {
	if len(s.pendingTasks) == 0 {
		return nil, applyTask{}
	}
	return s.applies, s.pendingTasks[0]
}

// advanceTicks advances the core by the ticks that have elapsed, including those missed during a pause of the process.
func (s *stepper) advanceTicks() {
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
	s.handOver()
	s.leave()
	status := s.core.Status()
	s.logSilence(status)
	s.logChange(status)
	s.publish()
}

func (s *stepper) stepMessages(inbound inboundMessage) {
	for range maxMessageBatch {
		s.peers.learnAddress(inbound.message.From, inbound.address)
		s.core.Step(inbound.message)
		select {
		case inbound = <-s.inbox:
		default:
			return
		}
	}
}

// repair proposes the next membership change that the leader should make.
func (s *stepper) repair() {
	if !s.core.CanChange() {
		return
	}
	if change, ok := consensus.NextRepair(s.core.Status(), uint64(s.config.ReplaceAfter/s.tick)); ok {
		err := s.core.ProposeChange(change)
		s.log.Info("membership change", "kind", change.Kind.String(), "name", change.Member.Name, "member", change.Member.ID, "successor", change.Successor.ID, "error", err)
	}
}

// handOver transfers the leadership if the others have committed an entry for long that is not on this member's disk. The group can
// commit without it, but the writes that wait for it are bounded. Where all disks are slow, another leader would be no better.
func (s *stepper) handOver() {
	status := s.core.Status()
	if status.Role != consensus.RoleLeader || status.Stable >= s.awaitedIndex {
		s.awaitedIndex, s.awaitedSince = status.Committed, s.ticks
		return
	}
	if s.ticks-s.awaitedSince < maxWriteTicks {
		return
	}
	if err := s.transfer(status); err == nil {
		s.log.Info("handing over the leadership, as the disk does not complete a write", "member", s.id, "ms", s.WriteAge().Milliseconds())
	}
}

// leave transfers the leadership if this member is about to stop.
func (s *stepper) leave() {
	status := s.core.Status()
	to, ok := consensus.NextHandOver(status)
	if !ok {
		return
	}
	if err := s.core.Transfer(to); err == nil {
		s.log.Info("handing over the leadership before a stop", "member", s.id, "to", to)
	}
}

func (s *stepper) propose(p *proposal) {
	if !p.claimed.CompareAndSwap(false, true) {
		return
	}
	index, term, err := s.core.Propose(p.command)
	switch {
	case err == nil:
		p.term, s.pendingProposals[index] = term, p
	case consensus.IsErrNotLeader(err):
		address, _ := s.Leader()
		p.result <- proposalResult{err: ErrNotLeader{LeaderAddress: address}}
	default:
		p.result <- proposalResult{err: ErrNeverCommitted{Reason: err.Error()}}
	}
}

func (s *stepper) handleRequest(r coreRequest) error {
	status := s.core.Status()
	switch {
	case r.bootstrap != nil:
		return s.core.Bootstrap(*r.bootstrap)
	case r.leave:
		s.core.Leave()
		s.leave()
		s.publish()
		return nil
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
		if p.RetainsVote() && p.ID != status.ID && p.SilentTicks < maxTransferSilenceTicks && (best.ID == 0 || p.Match > best.Match) {
			best = p
		}
	}
	if best.ID == 0 {
		return ErrNoQuorum{Reason: "no other voter is reachable"}
	}
	return s.core.Transfer(best.ID)
}

// processReady performs the outstanding work of the core until a write or an apply task is pending.
func (s *stepper) processReady(ctx context.Context) {
	for len(s.pendingWrites) == 0 && len(s.pendingTasks) == 0 {
		r, ok := s.core.Ready()
		if !ok {
			break
		}
		if r.Sequence != 0 {
			batch := storage.Batch{Install: r.Install, Hard: r.Hard, Entries: r.Entries}
			s.pendingWrites = append(s.pendingWrites, write{sequence: r.Sequence, batch: batch})
		}
		configuration := s.core.Status().Configuration
		for _, m := range r.Messages {
			s.peers.send(ctx, configuration, m)
		}
		s.queueApply(r)
		for _, read := range r.Reads {
			s.completeRead(read)
		}
	}
	v := s.published.Load()
	status := s.core.Status()
	if v.status.Role != status.Role || v.status.Term != status.Term || v.status.Leader != status.Leader || v.status.Departure != status.Departure || v.status.Committed != status.Committed {
		s.publish()
	}
	if isLeader := status.Role == consensus.RoleLeader; isLeader != s.wasLeader {
		s.wasLeader = isLeader
		s.log.Info("role changed", "member", s.id, "leader", isLeader, "term", status.Term)
	}
}

// queueApply queues committed entries for the apply loop, together with the proposals that wait for them.
func (s *stepper) queueApply(r consensus.Ready) {
	if r.Restore != nil {
		for index, p := range s.pendingProposals {
			if index <= r.Restore.Index {
				delete(s.pendingProposals, index)
				p.result <- proposalResult{err: ErrOutcomeUnknown{Reason: "a snapshot replaced the log"}}
			}
		}
	}
	if r.Restore == nil && len(r.Committed) == 0 {
		return
	}
	task := applyTask{restore: r.Restore, entries: r.Committed, entryProposals: make([]*proposal, len(r.Committed))}
	for i, e := range r.Committed {
		p := s.pendingProposals[e.Index]
		if p == nil {
			continue
		}
		delete(s.pendingProposals, e.Index)
		if p.term != e.Term {
			p.result <- proposalResult{err: ErrNeverCommitted{Reason: "another leader's entry took its place"}}
			continue
		}
		task.entryProposals[i] = p
	}
	s.pendingTasks = append(s.pendingTasks, task)
}

// compact compacts the log with a snapshot made by the apply loop.
func (s *stepper) compact(t stateSnapshot) {
	snapshot, ok := s.core.SnapshotAt(t.index, t.state)
	if !ok {
		return // a snapshot from the leader replaced the log in the meantime
	}
	s.core.Compact(snapshot)
	s.pendingWrites = append(s.pendingWrites, write{snapshot: &snapshot})
}

// failProposals fails the pending proposals when the member stops.
func (s *stepper) failProposals() {
	for _, p := range s.pendingProposals {
		p.result <- proposalResult{err: ErrOutcomeUnknown{Reason: "the member stopped"}}
	}
}
