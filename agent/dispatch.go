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
	// firstPing spares short requests the frame.
	firstPing = 100 * time.Millisecond
	// pingInterval is how often an entry hears that its request is still worked on.
	pingInterval = 500 * time.Millisecond
	// outcomeGrace is how long a claimed call may go on after its deadline, so that its outcome becomes known.
	outcomeGrace = 30 * time.Second
	busyRetry    = 50 * time.Millisecond
)

// Codes of refusals by an agent.
const (
	CodeLeaving     = "Leaving"
	CodeBusy        = "Busy"
	CodeIncarnation = "OtherIncarnation"
	CodeTombstoned  = "Tombstoned"
	CodeStarted     = "AlreadyStarted"
	CodeNoClaim     = "ClaimMissing"
	CodeEndpoint    = "EndpointFailed"
	CodeNotLoaded   = "ModelNotLoaded"
	CodeAdapter     = "AdapterNotReady"
	CodeDeadline    = "DeadlinePassed"
)

// Dispatch runs one attempt of a request and streams its answer back.
func (a *Agent) Dispatch(ctx context.Context, first *wirepb.Frame, stream *wire.Stream) {
	d := first.GetDispatch()
	a.seen(first.GetCatalogVersion())
	if refused := a.admit(d); refused != nil {
		a.refuse(stream, refused)
		return
	}
	defer a.leave()
	remaining := time.Duration(d.GetRemainingMs()) * time.Millisecond
	pinging, stopPings := context.WithCancel(ctx)
	pings := a.ping(pinging, stream)
	defer func() {
		stopPings()
		<-pings
	}()
	if !d.GetRepeatable() {
		// A claimed call goes on without its entry, since it may not be started again.
		ctx, cancel := context.WithTimeout(a.life, remaining+outcomeGrace)
		defer cancel()
		a.runOnce(ctx, d, stream)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	a.runRepeatable(ctx, cancel, d, stream)
}

// ping tells the entry soon and then regularly that the request arrived and the connection works.
func (a *Agent) ping(ctx context.Context, stream *wire.Stream) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		wait := time.NewTimer(firstPing)
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

// admit takes a request in, or says why it is not run.
func (a *Agent) admit(d *wirepb.Dispatch) *wirepb.Refused {
	a.mu.Lock()
	defer a.mu.Unlock()
	resumes := d.GetRepeatable() && d.GetResume() && a.runs.known(runName(d))
	switch {
	case (a.leaving || a.stopping) && !resumes:
		return refusal(d, wirepb.Run_RUN_NOT_RUN, CodeLeaving, "the endpoint takes no new work")
	case a.incarnation == 0 || d.GetIncarnation() != a.incarnation:
		return refusal(d, wirepb.Run_RUN_NOT_RUN, CodeIncarnation, "the agent was started again since")
	case a.running >= a.settings.Agent.Slots && !resumes:
		refused := refusal(d, wirepb.Run_RUN_NOT_RUN, CodeBusy, "every slot is taken")
		refused.RetryAfterMs = uint64(busyRetry.Milliseconds())
		return refused
	}
	if !d.GetRepeatable() {
		if refused := a.claim(d); refused != nil {
			return refused
		}
	}
	a.running++
	a.served = true
	return nil
}

// claim starts a claim, once.
func (a *Agent) claim(d *wirepb.Dispatch) *wirepb.Refused {
	if d.GetClaim() == 0 {
		return refusal(d, wirepb.Run_RUN_NOT_RUN, CodeNoClaim, "a call that may not be repeated needs a claim")
	}
	known, fresh := a.starts.begin(d.GetClaim())
	switch {
	case fresh:
		return nil
	case known == wirepb.Outcome_STATE_TOMBSTONED:
		return refusal(d, wirepb.Run_RUN_NOT_RUN, CodeTombstoned, "the claim was given up before it arrived")
	default:
		return refusal(d, wirepb.Run_RUN_UNKNOWN, CodeStarted, "the claim was started before")
	}
}

func refusal(d *wirepb.Dispatch, run wirepb.Run, code, detail string) *wirepb.Refused {
	return &wirepb.Refused{RequestId: d.GetRequestId(), Attempt: d.GetAttempt(), Run: run, Code: code, Detail: detail}
}

func (a *Agent) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	if a.running == 0 {
		close(a.idle)
		a.idle = make(chan struct{})
	}
}

func (a *Agent) load() *wirepb.LoadReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &wirepb.LoadReport{Running: uint32(a.running), Slots: uint32(a.settings.Agent.Slots), CacheEvents: a.events}
}

func (a *Agent) refuse(stream *wire.Stream, refused *wirepb.Refused) {
	refused.Load = a.load()
	a.send(stream, &wirepb.Frame{Body: &wirepb.Frame_Refused{Refused: refused}})
}

func (a *Agent) send(stream *wire.Stream, frame *wirepb.Frame) {
	frame.CatalogVersion = a.catalogVersion()
	if err := stream.Send(frame, sendTimeout); err != nil {
		a.log.V(1).Info("reply not sent", "peer", stream.Peer(), "error", err.Error())
	}
}

func (a *Agent) isModel() bool { return a.settings.Agent.Kind == string(setting.KindModel) }

// Leave refuses new work from now on and lets control know.
func (a *Agent) Leave() {
	a.mu.Lock()
	a.stopping = true
	a.mu.Unlock()
	a.nudge()
}

// Stop refuses new work and returns once what was started has ended, or the context has.
func (a *Agent) Stop(ctx context.Context) (left int) {
	for {
		a.mu.Lock()
		a.stopping = true
		running, idle := a.running, a.idle
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
