package quorum

import (
	"context"

	"burdocksaddle/consensus"
)

// Run runs the member's duties until the context ends; the channel gives the reason, once, nil if the context ended it.
func (l *Log) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- l.run(ctx) }()
	return ended
}

func (l *Log) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	duties := []func(context.Context) error{l.stepLoop, l.writeLoop, l.applyLoop, l.joinLoop}
	ends := make(chan error, len(duties))
	for _, duty := range duties {
		go func() { ends <- guarded(ctx, duty) }()
	}
	var cause error
	for range duties {
		if err := <-ends; err != nil && cause == nil {
			cause = err
		}
		cancel()
	}
	l.peers.wait()
	l.store.Close()
	if cause != nil {
		l.log.Error(cause, "the member's role has stopped", "member", l.id)
	}
	l.cause = cause
	close(l.stopped)
	return cause
}

// guarded turns a broken invariant into the duty's error, which ends the role.
func guarded(ctx context.Context, duty func(context.Context) error) (err error) {
	defer func() {
		switch broken := recover().(type) {
		case nil:
		case consensus.ErrInvariantBroken:
			err = broken
		default:
			panic(broken)
		}
	}()
	return duty(ctx)
}
