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
	// silenceFirst is how long an engine may say nothing before it is asked over a fresh connection.
	silenceFirst = 2 * time.Second
	silenceMost  = 16 * time.Second
	// cutTries is how often a cut answer is taken up again at the same endpoint.
	cutTries        = 2
	maxProblemBytes = 64 << 10
)

// relay passes one repeatable request to the endpoint and its answer back.
type relay struct {
	agent *Agent
	out   *outlet
	run   *run
	// reached tells that the endpoint may have begun.
	reached bool
	resume  bool
	cuts    int
	silence time.Duration
}

// runRepeatable runs or resumes a request until its answer is whole or the entry has left.
func (a *Agent) runRepeatable(ctx context.Context, cancel context.CancelFunc, d *wirepb.Dispatch, stream *wire.Stream) {
	name := runName(d)
	one, known := a.attach(name)
	cancelled := make(chan bool, 1)
	go func() { cancelled <- cancelOnClose(stream, cancel) }()
	r := &relay{
		agent: a, run: one, resume: known, silence: silenceFirst,
		out: &outlet{agent: a, dispatch: d, stream: stream},
	}
	if known && d.GetStream() {
		r.out.offset = d.GetOffset()
	}
	stop := context.AfterFunc(ctx, stream.Close)
	defer stop()
	refused := a.prepare(ctx, d, known)
	if refused == nil {
		refused = r.carry(ctx)
	}
	if refused != nil {
		a.refuse(stream, refused)
	} else if r.out.lost == nil {
		r.out.end()
	}
	stream.Close()
	// A caller that left or a deadline ends the work; a lost connection may be resumed.
	gone := <-cancelled || errors.Is(ctx.Err(), context.DeadlineExceeded)
	whole := refused == nil && r.out.lost == nil
	if gone && !whole && r.reached {
		a.cancelRun(ctx, a.runID(one))
	}
	a.detach(name, one, gone || !r.reached, whole)
}

// prepare loads the adapter that a request names.
func (a *Agent) prepare(ctx context.Context, d *wirepb.Dispatch, known bool) *wirepb.Refused {
	if d.GetAdapter() == "" || known || !a.isModel() {
		return nil
	}
	if err := a.EnsureAdapter(ctx, d.GetModel(), d.GetAdapter()); err != nil {
		return refusal(d, wirepb.Run_RUN_NOT_RUN, CodeAdapter, err.Error())
	}
	return nil
}

// cancelOnClose ends the work when the entry leaves; it tells whether the entry asked for that.
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

// carry pulls the answer until it is whole, over a fresh connection after each silence or cut.
func (r *relay) carry(ctx context.Context) *wirepb.Refused {
	d := r.out.dispatch
	for {
		err := r.pull(ctx)
		switch {
		case err == nil || r.out.lost != nil:
			return nil
		case ctx.Err() != nil:
			return refusal(d, wirepb.Run_RUN_UNKNOWN, CodeDeadline, "no whole answer in time")
		case IsErrModelNotLoaded(err):
			return refusal(d, wirepb.Run_RUN_NOT_RUN, CodeNotLoaded, err.Error())
		case notDialled(err):
			return refusal(d, r.ran(), CodeEndpoint, err.Error())
		case !d.GetStream() && r.out.offset > 0:
			// Parts of two answers that are not streams can't be joined.
			return refusal(d, wirepb.Run_RUN_UNKNOWN, CodeEndpoint, err.Error())
		case IsErrEngineSilent(err):
			r.silence = min(2*r.silence, silenceMost)
		default:
			if r.cuts++; r.cuts > cutTries {
				return refusal(d, wirepb.Run_RUN_UNKNOWN, CodeEndpoint, err.Error())
			}
		}
		r.agent.log.V(1).Info("answer taken up again", "request", d.GetRequestId(), "offset", r.out.offset, "error", err.Error())
		r.resume = true
	}
}

func (r *relay) ran() wirepb.Run {
	if r.reached {
		return wirepb.Run_RUN_UNKNOWN
	}
	return wirepb.Run_RUN_NOT_RUN
}

// pull makes one call to the endpoint and passes its parts on; nil means that the answer is whole.
func (r *relay) pull(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := time.AfterFunc(r.silence, cancel)
	defer watch.Stop()
	response, err := r.ask(ctx)
	if err != nil {
		return r.named(ctx, watch, err)
	}
	defer func() { _ = response.Body.Close() }()
	if r.out.flushed && uint32(response.StatusCode) != r.out.status {
		return ErrEngineRefused{Path: r.out.dispatch.GetPath(), Status: response.StatusCode}
	}
	r.out.start(response.StatusCode, response.Header.Get("Content-Type"))
	next := parts(response, r.out.dispatch.GetStream())
	for {
		part, err := next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return r.named(ctx, watch, err)
		}
		watch.Stop()
		if r.out.chunk(part); r.out.lost != nil {
			return r.out.lost
		}
		watch.Reset(r.silence)
	}
}

// named tells a silence from other failures.
func (r *relay) named(ctx context.Context, watch *time.Timer, err error) error {
	if !watch.Stop() && ctx.Err() != nil {
		return ErrEngineSilent{For: r.silence}
	}
	return err
}

// ask sends the request, or asks for the rest of a run that the engine knows.
func (r *relay) ask(ctx context.Context) (*http.Response, error) {
	d := r.out.dispatch
	if r.resume && r.agent.isModel() {
		response, err := r.send(ctx, r.agent.once, true)
		if err != nil || response.StatusCode != http.StatusNotFound {
			return response, err
		}
		_ = response.Body.Close()
		// The engine lost the run: it begins again under a name of its own.
		r.agent.renameRun(r.run, runName(d)+"."+strconv.Itoa(int(d.GetAttempt()))+"."+strconv.Itoa(r.cuts))
		r.out.offset = 0
	}
	client := r.agent.http
	if r.resume {
		client = r.agent.once
	}
	response, err := r.send(ctx, client, false)
	if err == nil && r.agent.isModel() && response.StatusCode == http.StatusNotFound {
		return nil, notLoaded(response)
	}
	return response, err
}

func (r *relay) send(ctx context.Context, client *http.Client, resume bool) (*http.Response, error) {
	request, err := r.agent.request(ctx, r.out.dispatch, r.agent.runID(r.run))
	if err != nil {
		return nil, err
	}
	if resume {
		request.Header.Set(engineapi.HeaderOffset, strconv.FormatUint(r.out.offset, 10))
	}
	response, err := client.Do(request)
	r.reached = r.reached || !notDialled(err)
	return response, err
}

// notLoaded reads why an engine doesn't know a model.
func notLoaded(response *http.Response) error {
	defer func() { _ = response.Body.Close() }()
	var problem engineapi.Problem
	_ = json.NewDecoder(io.LimitReader(response.Body, maxProblemBytes)).Decode(&problem)
	return ErrModelNotLoaded{Detail: problem.Code + " " + problem.Detail}
}

func (a *Agent) request(ctx context.Context, d *wirepb.Dispatch, id string) (*http.Request, error) {
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
