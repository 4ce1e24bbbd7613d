package node

import (
	"context"
	"sync"
	"time"

	"burdocksaddle/entry"
)

const (
	// lingerTime is the delay before the sessions close, so that the last frames reach their peers.
	lingerTime = 200 * time.Millisecond
	// leaveNoticeTime gives the control members and entries time to learn that an agent is leaving.
	leaveNoticeTime = 500 * time.Millisecond
	// leaveGroupTimeout limits the wait for a control member's successors as voter and leader.
	leaveGroupTimeout = 3 * time.Second
	// httpShutdownTimeout limits the wait for responses when the HTTP servers are shut down; the entry has finished its requests by then.
	httpShutdownTimeout = time.Second
	// finalResponseTime is reserved for the responses to requests that were canceled.
	finalResponseTime = 200 * time.Millisecond
)

// WithAbort sets a context that aborts a graceful shutdown when it ends.
func WithAbort(abort context.Context) Option { return func(n *Node) { n.abort = abort } }

// stop shuts down the roles gracefully, the entry first, since it depends on the others.
func (n *Node) stop() {
	ctx := n.abort
	n.log.Info("shutdown started", "roles", n.settings.Roles)
	if n.entry != nil {
		n.stopEntry(ctx)
	}
	if n.agent != nil {
		n.stopAgent(ctx)
	}
	if n.member != nil {
		leaveCtx, cancel := context.WithTimeout(ctx, leaveGroupTimeout)
		if err := n.replicatedLog.Leave(leaveCtx); err != nil {
			n.log.Info("stopping without having left the control group", "error", err.Error())
		}
		cancel()
	}
	if ctx.Err() != nil {
		n.logAborted()
		return
	}
	n.log.Info("shutdown complete")
}

// shutDownServers shuts down the HTTP servers. It is called before the other parts end, so that they can complete the requests in progress.
func (n *Node) shutDownServers() {
	var shutdowns sync.WaitGroup
	for _, server := range n.servers {
		shutdowns.Go(func() { n.shutDown(server) })
	}
	shutdowns.Wait()
}

// shutDown cancels the requests that are not answered within httpShutdownTimeout, and closes the connections a little later.
func (n *Node) shutDown(server httpServer) {
	waitCtx, cancelWait := context.WithTimeout(n.abort, httpShutdownTimeout)
	defer cancelWait()
	context.AfterFunc(waitCtx, func() { server.cancelRequests(entry.ErrStopping{}) })
	ctx, cancel := context.WithTimeout(context.Background(), httpShutdownTimeout+finalResponseTime)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		n.log.Error(err, "HTTP server not closed")
	}
}

// stopEntry fails the health check, waits until the load balancer has reacted, rejects new requests and finishes open ones.
func (n *Node) stopEntry(ctx context.Context) {
	n.entry.Drain()
	sleep(ctx, time.Duration(n.settings.Entry.BalancerMS)*time.Millisecond)
	drainCtx, cancel := context.WithTimeout(ctx, n.drainTimeout())
	defer cancel()
	// Requests that are still queued after half of the drain timeout are rejected as not run, so that the caller can retry
	// them elsewhere.
	refuseTimer := time.AfterFunc(n.drainTimeout()/2, n.entry.RefuseWaiting)
	defer refuseTimer.Stop()
	if unfinished := n.entry.Stop(drainCtx); unfinished > 0 && ctx.Err() == nil {
		n.log.Info("drain timeout exceeded", "requests", unfinished)
	}
}

// stopAgent rejects new requests and finishes those that were sent to its endpoint.
func (n *Node) stopAgent(ctx context.Context) {
	drainCtx, cancel := context.WithTimeout(ctx, n.drainTimeout())
	defer cancel()
	n.agent.BeginDrain()
	sleep(ctx, leaveNoticeTime)
	if unfinished := n.agent.Drain(drainCtx); unfinished > 0 && ctx.Err() == nil {
		n.log.Info("drain timeout exceeded", "running", unfinished)
	}
	sleep(ctx, lingerTime)
}

// logAborted logs the number of requests that were aborted by a second signal.
func (n *Node) logAborted() {
	requests, running := 0, 0
	if n.entry != nil {
		requests = n.entry.OpenRequests()
	}
	if n.agent != nil {
		running = n.agent.Dump().Running
	}
	n.log.Info("shutdown aborted", "requests", requests, "running", running)
}

func (n *Node) drainTimeout() time.Duration {
	if n.settings.Entry.DrainMS > 0 {
		return time.Duration(n.settings.Entry.DrainMS) * time.Millisecond
	}
	return defaultDrainTimeout
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
