package entry

import (
	"context"
	"time"

	"burdocksaddle/wirepb"
)

const (
	// proposeTimeout bounds one member's answer, proposeLimit all tries of a command.
	proposeTimeout = time.Second
	proposeLimit   = 3 * time.Second
	proposePause   = 50 * time.Millisecond
)

// propose hands a command to control members in turn until one commits it. The
// command must be harmless to repeat, since a lost reply leaves it open whether
// it was committed.
func (e *Entry) propose(ctx context.Context, command *wirepb.Command) (*wirepb.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeLimit)
	defer cancel()
	var last error = ErrControlNotReached{}
	for tries := 0; ; tries++ {
		address := e.member()
		frame := &wirepb.Frame{Body: &wirepb.Frame_Propose{Propose: &wirepb.Propose{
			Command: command, RemainingMs: uint64(proposeTimeout.Milliseconds()),
		}}}
		reply, err := e.pool.Call(ctx, address, frame, proposeTimeout)
		proposed := reply.GetProposeReply()
		switch {
		case err == nil && proposed.GetCommitted():
			return proposed.GetResult(), nil
		case err != nil:
			last = err
			if ctx.Err() == nil {
				e.pool.Drop(address)
			}
		case proposed.GetError() != "":
			last = ErrNotCommitted{Reason: proposed.GetError()}
		}
		e.otherMember(address)
		if ctx.Err() != nil {
			return nil, last
		}
		if tries%len(e.settings.Controls) == len(e.settings.Controls)-1 && !pause(ctx, proposePause) {
			return nil, last
		}
	}
}

// member returns the control member that answered last.
func (e *Entry) member() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.settings.Controls[e.control]
}

// otherMember turns to the next member unless another request did so already.
func (e *Entry) otherMember(failed string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.settings.Controls[e.control] == failed {
		e.control = (e.control + 1) % len(e.settings.Controls)
	}
}

// ErrControlNotReached tells that no control member could commit a command.
type ErrControlNotReached struct{}

// Error implements error.
func (ErrControlNotReached) Error() string { return "no control member commits now" }

// ErrNotCommitted tells why a control member did not commit a command.
type ErrNotCommitted struct{ Reason string }

// Error implements error.
func (e ErrNotCommitted) Error() string { return "not committed: " + e.Reason }
