package agent

import (
	"context"
	"time"

	"burdocksaddle/setting"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

const (
	sendTimeout = 5 * time.Second
	// firstPingDelay is chosen so that short requests finish before the first ping is sent.
	firstPingDelay = 100 * time.Millisecond
	// pingInterval is the interval between keep-alive pings to the entry while a request is running.
	pingInterval = 500 * time.Millisecond
	// outcomeGrace is how long a non-repeatable call may run past its deadline, so that its outcome can still be recorded.
	outcomeGrace   = 30 * time.Second
	busyRetryDelay = 50 * time.Millisecond
)

// Refusal codes returned by an agent.
const (
	CodeLeaving          = "Leaving"
	CodeBusy             = "Busy"
	CodeOtherIncarnation = "OtherIncarnation"
	CodeTombstoned       = "Tombstoned"
	CodeAlreadyStarted   = "AlreadyStarted"
	CodeClaimMissing     = "ClaimMissing"
	CodeEndpointFailed   = "EndpointFailed"
	CodeModelNotLoaded   = "ModelNotLoaded"
	CodeAdapterNotReady  = "AdapterNotReady"
	CodeDeadlinePassed   = "DeadlinePassed"
)

// Dispatch runs one attempt of a request and streams the response back to the entry.
func (a *Agent) Dispatch(ctx context.Context, first *wirepb.Frame, stream *wire.Stream) {
	d := first.GetDispatch()
	a.catchUpCatalog(first.GetCatalogVersion())
	if refused := a.admit(d); refused != nil {
		a.refuse(stream, refused)
		return
	}
	defer a.finishRequest()
	remaining := time.Duration(d.GetRemainingMs()) * time.Millisecond
	pingCtx, stopPings := context.WithCancel(ctx)
	pingsDone := a.ping(pingCtx, stream)
	defer func() {
		stopPings()
		<-pingsDone
	}()
	if !d.GetRepeatable() {
		// A non-repeatable call can't be restarted, so it continues even if the entry disconnects.
		ctx, cancel := context.WithTimeout(a.baseCtx, remaining+outcomeGrace)
		defer cancel()
		a.runClaimed(ctx, d, stream)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	a.runRepeatable(ctx, cancel, d, stream)
}

// ping sends keep-alive frames to the entry until ctx is done or sending fails. The returned channel is closed when it stops.
func (a *Agent) ping(ctx context.Context, stream *wire.Stream) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		wait := time.NewTimer(firstPingDelay)
		defer wait.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-wait.C:
			}
			if stream.TryPing() != nil {
				return
			}
			wait.Reset(pingInterval)
		}
	}()
	return ended
}

// admit reserves a slot for a request, or returns the reason for refusing it.
func (a *Agent) admit(d *wirepb.Dispatch) *wirepb.Refused {
	a.mu.Lock()
	defer a.mu.Unlock()
	resumes := d.GetRepeatable() && d.GetResume() && a.runs.known(runName(d))
	switch {
	case (a.leaving || a.stopping) && !resumes:
		return newRefusal(d, wirepb.Run_RUN_NOT_RUN, CodeLeaving, "the endpoint takes no new work")
	case a.incarnation == 0 || d.GetIncarnation() != a.incarnation:
		return newRefusal(d, wirepb.Run_RUN_NOT_RUN, CodeOtherIncarnation, "the agent was started again since")
	case a.running >= a.settings.Agent.Slots && !resumes:
		refused := newRefusal(d, wirepb.Run_RUN_NOT_RUN, CodeBusy, "every slot is taken")
		refused.RetryAfterMs = uint64(busyRetryDelay.Milliseconds())
		return refused
	}
	if !d.GetRepeatable() {
		if refused := a.startClaim(d); refused != nil {
			return refused
		}
	}
	a.running++
	a.dispatchedSincePoll = true
	return nil
}

// startClaim starts the request's claim, or returns a refusal if the claim is missing, tombstoned or was started before.
func (a *Agent) startClaim(d *wirepb.Dispatch) *wirepb.Refused {
	if d.GetClaim() == 0 {
		return newRefusal(d, wirepb.Run_RUN_NOT_RUN, CodeClaimMissing, "a call that may not be repeated needs a claim")
	}
	claimState, isNew := a.claims.begin(d.GetClaim())
	switch {
	case isNew:
		return nil
	case claimState == wirepb.Outcome_STATE_TOMBSTONED:
		return newRefusal(d, wirepb.Run_RUN_NOT_RUN, CodeTombstoned, "the claim was given up before it arrived")
	default:
		return newRefusal(d, wirepb.Run_RUN_UNKNOWN, CodeAlreadyStarted, "the claim was started before")
	}
}

func newRefusal(d *wirepb.Dispatch, run wirepb.Run, code, detail string) *wirepb.Refused {
	return &wirepb.Refused{RequestId: d.GetRequestId(), Attempt: d.GetAttempt(), Run: run, Code: code, Detail: detail}
}

func (a *Agent) finishRequest() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	if a.running == 0 {
		close(a.idleCh)
		a.idleCh = make(chan struct{})
	}
}

func (a *Agent) loadReport() *wirepb.LoadReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &wirepb.LoadReport{Running: uint32(a.running), Slots: uint32(a.settings.Agent.Slots), CacheEvents: a.cacheEvents}
}

func (a *Agent) refuse(stream *wire.Stream, refused *wirepb.Refused) {
	refused.Load = a.loadReport()
	a.send(stream, &wirepb.Frame{Body: &wirepb.Frame_Refused{Refused: refused}})
}

func (a *Agent) send(stream *wire.Stream, frame *wirepb.Frame) {
	frame.CatalogVersion = a.catalogVersion()
	if err := stream.Send(frame, sendTimeout); err != nil {
		a.log.V(1).Info("failed to send reply", "peer", stream.Peer(), "error", err.Error())
	}
}

func (a *Agent) servesModels() bool { return a.settings.Agent.Kind == string(setting.KindModel) }

// BeginDrain makes the agent refuse new requests and report to control that it is leaving.
func (a *Agent) BeginDrain() {
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	a.wakeReconciler()
}

// Drain refuses new requests and waits until all running ones have ended or ctx is done. It returns the number still running.
func (a *Agent) Drain(ctx context.Context) (unfinished int) {
	for {
		a.mu.Lock()
		a.stopping = true
		running, idle := a.running, a.idleCh
		a.mu.Unlock()
		if running == 0 {
			return 0
		}
		select {
		case <-ctx.Done():
			return running
		case <-idle:
		}
	}
}
