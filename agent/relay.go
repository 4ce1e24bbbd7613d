package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"burdocksaddle/engineapi"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

const (
	// initialReadTimeout is how long the engine may send no data before the agent retries over a new connection.
	initialReadTimeout = 2 * time.Second
	maxReadTimeout     = 16 * time.Second
	// maxInterruptions is how many times an interrupted response is resumed on the same endpoint.
	maxInterruptions = 2
	maxProblemBytes  = 64 << 10
)

// relay forwards a repeatable request to the endpoint and streams the response back.
type relay struct {
	agent  *Agent
	sender *responseSender
	run    *run
	// mayHaveStarted is set once the endpoint may have received the request.
	mayHaveStarted bool
	resume         bool
	interruptions  int
	readTimeout    time.Duration
}

// runRepeatable starts or resumes a run and forwards it until the response is complete or the entry disconnects.
func (a *Agent) runRepeatable(ctx context.Context, cancel context.CancelFunc, d *wirepb.Dispatch, stream *wire.Stream) {
	name := runName(d)
	activeRun, known := a.attach(name)
	cancelled := make(chan bool, 1)
	go func() { cancelled <- cancelOnClose(stream, cancel) }()
	r := &relay{
		agent: a, run: activeRun, resume: known, readTimeout: initialReadTimeout,
		sender: &responseSender{agent: a, dispatch: d, stream: stream},
	}
	if known && d.GetStream() {
		r.sender.nextOffset = d.GetOffset()
	}
	stop := context.AfterFunc(ctx, stream.Close)
	defer stop()
	refused := a.ensureRequestAdapter(ctx, d, known)
	if refused == nil {
		refused = r.forward(ctx)
	}
	if refused != nil {
		a.refuse(stream, refused)
	} else if r.sender.sendErr == nil {
		r.sender.finishResponse()
	}
	stream.Close()
	// A cancellation or an expired deadline ends the run. After a lost connection it may still be resumed.
	notResumable := <-cancelled || errors.Is(ctx.Err(), context.DeadlineExceeded)
	complete := refused == nil && r.sender.sendErr == nil
	if notResumable && !complete && r.mayHaveStarted {
		a.cancelRun(ctx, a.runID(activeRun))
	}
	a.detach(name, activeRun, notResumable || !r.mayHaveStarted, complete)
}

// ensureRequestAdapter loads the adapter that a request names.
func (a *Agent) ensureRequestAdapter(ctx context.Context, d *wirepb.Dispatch, known bool) *wirepb.Refused {
	if d.GetAdapter() == "" || known || !a.servesModels() {
		return nil
	}
	if err := a.EnsureAdapter(ctx, d.GetModel(), d.GetAdapter()); err != nil {
		return newRefusal(d, wirepb.Run_RUN_NOT_RUN, CodeAdapterNotReady, err.Error())
	}
	return nil
}

// cancelOnClose cancels the work when the stream ends. It reports whether the entry sent an explicit cancel frame.
func cancelOnClose(stream *wire.Stream, cancel context.CancelFunc) bool {
	defer cancel()
	for {
		frame, err := stream.Receive(0)
		if err != nil {
			return false
		}
		if frame.GetCancel() != nil {
			return true
		}
	}
}

// forward reads the response until it is complete and reconnects after each read timeout or interruption.
func (r *relay) forward(ctx context.Context) *wirepb.Refused {
	d := r.sender.dispatch
	for {
		err := r.forwardOnce(ctx)
		switch {
		case err == nil || r.sender.sendErr != nil:
			return nil
		case ctx.Err() != nil:
			return newRefusal(d, wirepb.Run_RUN_UNKNOWN, CodeDeadlinePassed, "no whole answer in time")
		case IsErrModelNotLoaded(err):
			return newRefusal(d, wirepb.Run_RUN_NOT_RUN, CodeModelNotLoaded, err.Error())
		case isDialError(err):
			return newRefusal(d, r.runState(), CodeEndpointFailed, err.Error())
		case !d.GetStream() && r.sender.nextOffset > 0:
			// Without streaming, a second response can't be spliced onto chunks of the first.
			return newRefusal(d, wirepb.Run_RUN_UNKNOWN, CodeEndpointFailed, err.Error())
		case IsErrEngineSilent(err):
			r.readTimeout = min(2*r.readTimeout, maxReadTimeout)
		default:
			if r.interruptions++; r.interruptions > maxInterruptions {
				return newRefusal(d, wirepb.Run_RUN_UNKNOWN, CodeEndpointFailed, err.Error())
			}
		}
		r.agent.log.V(1).Info("resuming interrupted response", "request", d.GetRequestId(), "offset", r.sender.nextOffset, "error", err.Error())
		r.resume = true
	}
}

func (r *relay) runState() wirepb.Run {
	if r.mayHaveStarted {
		return wirepb.Run_RUN_UNKNOWN
	}
	return wirepb.Run_RUN_NOT_RUN
}

// forwardOnce makes a single call to the endpoint and forwards its chunks. It returns nil once the response is complete.
func (r *relay) forwardOnce(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silenceTimer := time.AfterFunc(r.readTimeout, cancel)
	defer silenceTimer.Stop()
	response, err := r.sendOrResume(ctx)
	if err != nil {
		return r.classifyError(ctx, silenceTimer, err)
	}
	defer func() { _ = response.Body.Close() }()
	if r.sender.headersSent && uint32(response.StatusCode) != r.sender.status {
		return ErrEngineRefused{Path: r.sender.dispatch.GetPath(), Status: response.StatusCode}
	}
	r.sender.setHeader(response.StatusCode, response.Header.Get("Content-Type"))
	next := chunkReader(response, r.sender.dispatch.GetStream())
	for {
		chunkData, err := next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return r.classifyError(ctx, silenceTimer, err)
		}
		silenceTimer.Stop()
		if r.sender.sendChunk(chunkData); r.sender.sendErr != nil {
			return r.sender.sendErr
		}
		silenceTimer.Reset(r.readTimeout)
	}
}

// classifyError returns ErrEngineSilent if the read timeout caused the failure, and err otherwise.
func (r *relay) classifyError(ctx context.Context, silenceTimer *time.Timer, err error) error {
	if !silenceTimer.Stop() && ctx.Err() != nil {
		return ErrEngineSilent{For: r.readTimeout}
	}
	return err
}

// sendOrResume sends the request, or resumes the run from the current offset if the engine still has it.
func (r *relay) sendOrResume(ctx context.Context) (*http.Response, error) {
	d := r.sender.dispatch
	if r.resume && r.agent.servesModels() {
		response, err := r.send(ctx, r.agent.singleUseHTTP, true)
		if err != nil || response.StatusCode != http.StatusNotFound {
			return response, err
		}
		_ = response.Body.Close()
		// The engine no longer has the run, so restart it under a new ID.
		r.agent.renameRun(r.run, runName(d)+"."+strconv.Itoa(int(d.GetAttempt()))+"."+strconv.Itoa(r.interruptions))
		r.sender.nextOffset = 0
	}
	client := r.agent.http
	if r.resume {
		client = r.agent.singleUseHTTP
	}
	response, err := r.send(ctx, client, false)
	if err == nil && r.agent.servesModels() && response.StatusCode == http.StatusNotFound {
		return nil, readModelNotLoaded(response)
	}
	return response, err
}

func (r *relay) send(ctx context.Context, client *http.Client, resume bool) (*http.Response, error) {
	request, err := r.agent.newEndpointRequest(ctx, r.sender.dispatch, r.agent.runID(r.run))
	if err != nil {
		return nil, err
	}
	if resume {
		request.Header.Set(engineapi.HeaderResumeOffset, strconv.FormatUint(r.sender.nextOffset, 10))
	}
	response, err := client.Do(request)
	r.mayHaveStarted = r.mayHaveStarted || !isDialError(err)
	return response, err
}

// readModelNotLoaded converts the engine's problem response into an ErrModelNotLoaded.
func readModelNotLoaded(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	var problem engineapi.Problem
	_ = json.NewDecoder(io.LimitReader(response.Body, maxProblemBytes)).Decode(&problem)
	return ErrModelNotLoaded{Detail: problem.Code + " " + problem.Detail}
}

func (a *Agent) newEndpointRequest(ctx context.Context, d *wirepb.Dispatch, id string) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, d.GetMethod(), a.settings.Agent.EndpointURL+d.GetPath(), bytes.NewReader(d.GetBody()))
	if err != nil {
		return nil, err
	}
	if d.GetContentType() != "" {
		request.Header.Set("Content-Type", d.GetContentType())
	}
	request.Header.Set(engineapi.HeaderRequestID, id)
	request.Header.Set(engineapi.HeaderPriority, "u="+strconv.Itoa(int(d.GetUrgency())))
	if d.GetIdempotencyKey() != "" {
		request.Header.Set("Idempotency-Key", d.GetIdempotencyKey())
	}
	return request, nil
}
