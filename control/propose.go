package control

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"burdocksaddle/quorum"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

const (
	proposeTimeout = 5 * time.Second
	// An attempt has its own timeout, since the connection may have become unresponsive. Retries are safe because a
	// resent command gets the first result.
	attemptTimeout        = 1500 * time.Millisecond
	initialProposeBackoff = 10 * time.Millisecond
	maxProposeBackoff     = 200 * time.Millisecond
	forwardTimeout        = time.Second
	notLeaderMessage      = "this member does not lead"
)

// Propose commits a command, through the leader if that is another member, and returns its result. It fails with
// ErrNotCommitted.
func (m *Member) Propose(ctx context.Context, command *wirepb.Command) (*wirepb.CommandResult, error) {
	if command.GetProposal() == "" {
		command.Proposal = rand.Text()
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval, retryBackoff.MaxInterval = initialProposeBackoff, maxProposeBackoff
	never := true
	for {
		result, err := m.attemptPropose(ctx, command)
		if err == nil {
			return result, nil
		}
		never = never && neverCommitted(err)
		select {
		case <-ctx.Done():
			return nil, ErrNotCommitted{Never: never, Cause: err}
		case <-time.After(retryBackoff.NextBackOff()):
		}
	}
}

func (m *Member) attemptPropose(ctx context.Context, command *wirepb.Command) (*wirepb.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	address, self := m.replicatedLog.Leader()
	switch {
	case self:
		return m.commitLocally(ctx, command)
	case address == "" || m.pool == nil:
		return nil, quorum.ErrNeverCommitted{Reason: "no leader is known"}
	}
	frame := &wirepb.Frame{Body: &wirepb.Frame_Propose{Propose: &wirepb.Propose{
		Command: command, RemainingMs: uint64(attemptTimeout.Milliseconds()), Forwarded: true,
	}}}
	reply, err := m.pool.Call(ctx, address, frame, attemptTimeout)
	if wire.IsErrUnreachable(err) {
		return nil, quorum.ErrNeverCommitted{Reason: err.Error()}
	}
	if err != nil {
		return nil, err
	}
	proposed := reply.GetProposeReply()
	switch {
	case proposed.GetCommitted():
		return proposed.GetResult(), nil
	case proposed.GetNever():
		return nil, quorum.ErrNeverCommitted{Reason: proposed.GetError()}
	}
	return nil, quorum.ErrOutcomeUnknown{Reason: proposed.GetError()}
}

func (m *Member) commitLocally(ctx context.Context, command *wirepb.Command) (*wirepb.CommandResult, error) {
	data, err := encodeCommand(command)
	if err != nil {
		return nil, quorum.ErrNeverCommitted{Reason: err.Error()}
	}
	applied, err := m.replicatedLog.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	result, ok := applied.(*wirepb.CommandResult)
	if !ok {
		return nil, quorum.ErrOutcomeUnknown{Reason: "applying gave no result"}
	}
	return result, nil
}

func neverCommitted(err error) bool {
	return quorum.IsErrNeverCommitted(err) || quorum.IsErrNotLeader(err)
}

// HandlePropose commits a command received from another process. A command that was already forwarded by a
// member is not forwarded again.
func (m *Member) HandlePropose(ctx context.Context, p *wirepb.Propose) *wirepb.Frame {
	if p.GetRemainingMs() > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(p.GetRemainingMs())*time.Millisecond)
		defer cancel()
	}
	if !p.GetForwarded() {
		return proposeReply(m.Propose(ctx, p.GetCommand()))
	}
	if !m.leader() {
		return proposeReply(nil, quorum.ErrNeverCommitted{Reason: notLeaderMessage})
	}
	return proposeReply(m.commitLocally(ctx, p.GetCommand()))
}

func proposeReply(result *wirepb.CommandResult, err error) *wirepb.Frame {
	reply := &wirepb.ProposeReply{Result: result, Committed: err == nil}
	if err != nil {
		var notCommitted ErrNotCommitted
		reply.Error = err.Error()
		reply.Never = neverCommitted(err) || errors.As(err, &notCommitted) && notCommitted.Never
	}
	return &wirepb.Frame{Body: &wirepb.Frame_ProposeReply{ProposeReply: reply}}
}

// forwardReport forwards an agent's report to the leader, since only the leader stores the parts that are not in the
// log.
func (m *Member) forwardReport(ctx context.Context, r *wirepb.Report) *wirepb.Frame {
	if m.leader() {
		return m.HandleReport(ctx, r)
	}
	if r.GetForwarded() {
		return proposeReply(nil, quorum.ErrNeverCommitted{Reason: notLeaderMessage})
	}
	r.Forwarded = true
	if reply := m.forwardToLeader(ctx, &wirepb.Frame{Body: &wirepb.Frame_Report{Report: r}}); reply != nil {
		return reply
	}
	return proposeReply(nil, quorum.ErrOutcomeUnknown{Reason: "the leader did not answer"})
}

// forwardDemand forwards an entry's demand to the leader; if none can be reached, it returns nil and the call ends
// without a reply.
func (m *Member) forwardDemand(ctx context.Context, d *wirepb.Demand) *wirepb.Frame {
	if m.leader() {
		return m.HandleDemand(ctx, d)
	}
	if d.GetForwarded() {
		return nil
	}
	d.Forwarded = true
	return m.forwardToLeader(ctx, &wirepb.Frame{Body: &wirepb.Frame_Demand{Demand: d}})
}

func (m *Member) forwardToLeader(ctx context.Context, frame *wirepb.Frame) *wirepb.Frame {
	address, _ := m.replicatedLog.Leader()
	if address == "" || m.pool == nil {
		return nil
	}
	reply, err := m.pool.Call(ctx, address, frame, forwardTimeout)
	if err != nil {
		m.log.V(1).Info("call to leader failed", "leader", address, "error", err.Error())
		return nil
	}
	return reply
}
