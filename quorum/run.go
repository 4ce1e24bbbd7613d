package quorum

import (
	"context"

	"burdocksaddle/consensus"
)

// Run runs the member until the context ends. The channel receives the error that stopped the member, or nil if the
// context ended.
func (l *Log) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- l.run(ctx) }()
	return ended
}

func (l *Log) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	loops := []func(context.Context) error{l.stepLoop, l.writeLoop, l.applyLoop, l.joinLoop}
	results := make(chan error, len(loops))
	for _, loop := range loops {
		go func() { results <- recoverInvariant(ctx, loop) }()
	}
	var cause error
	for range loops {
		if err := <-results; err != nil && cause == nil {
			cause = err
		}
		cancel()
	}
	l.peers.wait()
	l.store.Close()
	if cause != nil {
		l.log.Error(cause, "consensus member stopped after a failure", "member", l.id)
	}
	l.cause = cause
	close(l.stopped)
	return cause
}

// recoverInvariant converts an ErrInvariantBroken panic into the loop's error, which stops the member.
func recoverInvariant(ctx context.Context, loop func(context.Context) error) (err error) {
	defer func() {
		switch broken := recover().(type) {
		case nil:
		case consensus.ErrInvariantBroken:
			err = broken
		default:
			panic(broken)
		}
	}()
	return loop(ctx)
}
