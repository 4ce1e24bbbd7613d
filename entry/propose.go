package entry

import (
	"context"
	"time"

	"burdocksaddle/wirepb"
)

const (
	// proposeTimeout limits the wait for one member's reply, proposeTotalTimeout all attempts for a command.
	proposeTimeout      = time.Second
	proposeTotalTimeout = 3 * time.Second
	proposeRetryDelay   = 50 * time.Millisecond
)

// propose sends a command to the control members in turn until one commits it. The
// command must be idempotent: after a lost reply it is sent again, although it may
// have been committed.
func (e *Entry) propose(ctx context.Context, command *wirepb.Command) (*wirepb.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTotalTimeout)
	defer cancel()
	var lastErr error = ErrControlUnreachable{}
	for tries := 0; ; tries++ {
		address := e.controlMember()
		frame := &wirepb.Frame{Body: &wirepb.Frame_Propose{Propose: &wirepb.Propose{
			Command: command, RemainingMs: uint64(proposeTimeout.Milliseconds()),
		}}}
		reply, err := e.pool.Call(ctx, address, frame, proposeTimeout)
		proposeReply := reply.GetProposeReply()
		switch {
		case err == nil && proposeReply.GetCommitted():
			return proposeReply.GetResult(), nil
		case err != nil:
			lastErr = err
			if ctx.Err() == nil {
				e.pool.CloseSession(address)
			}
		case proposeReply.GetError() != "":
			lastErr = ErrNotCommitted{Reason: proposeReply.GetError()}
		}
		e.nextControlMember(address)
		if ctx.Err() != nil {
			return nil, lastErr
		}
		if tries%len(e.settings.Controls) == len(e.settings.Controls)-1 && !sleepContext(ctx, proposeRetryDelay) {
			return nil, lastErr
		}
	}
}

// controlMember returns the address of the control member to try first.
func (e *Entry) controlMember() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settings.Controls[e.controlIndex]
}

// nextControlMember switches to the next member unless another request has already done so.
func (e *Entry) nextControlMember(failed string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.Controls[e.controlIndex] == failed {
		e.controlIndex = (e.controlIndex + 1) % len(e.settings.Controls)
	}
}

// ErrControlUnreachable is returned if no control member could commit a command.
type ErrControlUnreachable struct{}

// Error implements the error interface.
func (ErrControlUnreachable) Error() string { return "no control member commits now" }

// ErrNotCommitted is returned if a control member did not commit a command.
type ErrNotCommitted struct{ Reason string }

// Error implements the error interface.
func (e ErrNotCommitted) Error() string { return "not committed: " + e.Reason }
