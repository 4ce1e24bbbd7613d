package node

import (
	"context"
	"time"
)

const (
	// lingerTime lets the last frames reach their readers before the sessions close.
	lingerTime = 200 * time.Millisecond
	// leavingTime lets control and entries hear that an agent leaves.
	leavingTime  = 500 * time.Millisecond
	handOverTime = 3 * time.Second
	// closeTime bounds the end of HTTP servers whose requests are answered.
	closeTime = time.Second
)

// WithAbandon sets a context whose end gives up whatever a stop still waits for.
func WithAbandon(abandon context.Context) Option { return func(n *Node) { n.abandon = abandon } }

// stop lets every role finish its work, the entry first, since it needs the others.
func (n *Node) stop() {
	ctx := n.abandon
	n.log.Info("stop begins", "roles", n.settings.Roles)
	if n.entry != nil {
		n.stopEntry(ctx)
	}
	if n.agent != nil {
		n.stopAgent(ctx)
	}
	if n.member != nil {
		handOver, cancel := context.WithTimeout(ctx, handOverTime)
		if err := n.shared.TransferLeader(handOver); err != nil {
			n.log.Info("leadership not handed over", "error", err.Error())
		}
		cancel()
	}
	if ctx.Err() != nil {
		n.logAbandoned()
		return
	}
	n.log.Info("stop ends")
}

// stopEntry fails the health check, waits for the balancer, refuses new requests and finishes the others.
func (n *Node) stopEntry(ctx context.Context) {
	n.entry.Drain()
	wait(ctx, time.Duration(n.settings.Entry.BalancerMS)*time.Millisecond)
	drain, cancel := context.WithTimeout(ctx, n.drain())
	defer cancel()
	// What still waits at half of the time is handed over: refused, not run, to be asked elsewhere.
	handOver := time.AfterFunc(n.drain()/2, n.entry.HandOver)
	defer handOver.Stop()
	if left := n.entry.Stop(drain); left > 0 && ctx.Err() == nil {
		n.log.Info("drain time is over", "requests", left)
	}
}

// stopAgent refuses new work and finishes what its endpoint was given.
func (n *Node) stopAgent(ctx context.Context) {
	drain, cancel := context.WithTimeout(ctx, n.drain())
	defer cancel()
	n.agent.Leave()
	wait(ctx, leavingTime)
	if left := n.agent.Stop(drain); left > 0 && ctx.Err() == nil {
		n.log.Info("drain time is over", "running", left)
	}
	wait(ctx, lingerTime)
}

// logAbandoned says what a second signal gives up.
func (n *Node) logAbandoned() {
	requests, running := 0, 0
	if n.entry != nil {
		requests = n.entry.Open()
	}
	if n.agent != nil {
		running = n.agent.Dump().Running
	}
	n.log.Info("stop abandoned", "requests", requests, "running", running)
}

func (n *Node) drain() time.Duration {
	if n.settings.Entry.DrainMS > 0 {
		return time.Duration(n.settings.Entry.DrainMS) * time.Millisecond
	}
	return defaultDrain
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
