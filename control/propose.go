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
	// A try is cut short, since a connection may have gone silent; a resend gets the first result.
	tryTimeout   = 1500 * time.Millisecond
	proposeFirst = 10 * time.Millisecond
	proposeMost  = 200 * time.Millisecond
	relayTimeout = time.Second
	notLeading   = "this member does not lead"
)

// Propose puts a command into the log, over the leader if that is another member, and returns its
// result once it is committed; it fails with ErrNotCommitted.
func (m *Member) Propose(ctx context.Context, command *wirepb.Command) (*wirepb.CommandResult, error) {
	if command.GetProposal() == "" {
		command.Proposal = rand.Text()
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = proposeFirst, proposeMost
	never := true
	for {
		result, err := m.try(ctx, command)
		if err == nil {
			return result, nil
		}
		never = never && neverCommitted(err)
		select {
		case <-ctx.Done():
			return nil, ErrNotCommitted{Never: never, Cause: err}
		case <-time.After(pause.NextBackOff()):
		}
	}
}

func (m *Member) try(ctx context.Context, command *wirepb.Command) (*wirepb.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	address, self := m.shared.Leader()
	switch {
	case self:
		return m.commit(ctx, command)
	case address == "" || m.pool == nil:
		return nil, quorum.ErrNeverCommitted{Reason: "no leader is known"}
	}
	frame := &wirepb.Frame{Body: &wirepb.Frame_Propose{Propose: &wirepb.Propose{
		Command: command, RemainingMs: uint64(tryTimeout.Milliseconds()), Forwarded: true,
	}}}
	reply, err := m.pool.Call(ctx, address, frame, tryTimeout)
	if wire.IsErrNotReached(err) {
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

func (m *Member) commit(ctx context.Context, command *wirepb.Command) (*wirepb.CommandResult, error) {
	data, err := encode(command)
	if err != nil {
		return nil, quorum.ErrNeverCommitted{Reason: err.Error()}
	}
	applied, err := m.shared.Propose(ctx, data)
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

// Forward takes a command from another process; one that another member passed on is not passed on again.
func (m *Member) Forward(ctx context.Context, p *wirepb.Propose) *wirepb.Frame {
	if p.GetRemainingMs() > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(p.GetRemainingMs())*time.Millisecond)
		defer cancel()
	}
	if !p.GetForwarded() {
		return proposeReply(m.Propose(ctx, p.GetCommand()))
	}
	if !m.leader() {
		return proposeReply(nil, quorum.ErrNeverCommitted{Reason: notLeading})
	}
	return proposeReply(m.commit(ctx, p.GetCommand()))
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

// relayReport hands an agent's report to the leader, which alone keeps what is not in the log.
func (m *Member) relayReport(ctx context.Context, r *wirepb.Report) *wirepb.Frame {
	if m.leader() {
		return m.Report(ctx, r)
	}
	if r.GetForwarded() {
		return proposeReply(nil, quorum.ErrNeverCommitted{Reason: notLeading})
	}
	r.Forwarded = true
	if reply := m.relay(ctx, &wirepb.Frame{Body: &wirepb.Frame_Report{Report: r}}); reply != nil {
		return reply
	}
	return proposeReply(nil, quorum.ErrOutcomeUnknown{Reason: "the leader did not answer"})
}

// relayDemand hands an entry's demand to the leader; without one the call ends without a reply.
func (m *Member) relayDemand(ctx context.Context, d *wirepb.Demand) *wirepb.Frame {
	if m.leader() {
		return m.Demand(ctx, d)
	}
	if d.GetForwarded() {
		return nil
	}
	d.Forwarded = true
	return m.relay(ctx, &wirepb.Frame{Body: &wirepb.Frame_Demand{Demand: d}})
}

func (m *Member) relay(ctx context.Context, frame *wirepb.Frame) *wirepb.Frame {
	address, _ := m.shared.Leader()
	if address == "" || m.pool == nil {
		return nil
	}
	reply, err := m.pool.Call(ctx, address, frame, relayTimeout)
	if err != nil {
		m.log.V(1).Info("leader not reached", "leader", address, "error", err.Error())
		return nil
	}
	return reply
}
