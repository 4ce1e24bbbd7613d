package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

const (
	// maxKeptBytes bounds one answer that is kept for resends.
	maxKeptBytes = 16 << 20
	dialTimeout  = 2 * time.Second
	idleTimeout  = 30 * time.Second
)

// onceClient never reuses a connection and follows no redirect, since the
// library repeats a call by itself on a reused connection that was lost.
func onceClient(from *http.Client) *http.Client {
	transport, ok := from.Transport.(*http.Transport)
	if !ok {
		return &http.Client{Transport: from.Transport, CheckRedirect: noRedirect}
	}
	once := transport.Clone()
	once.DisableKeepAlives = true
	return &http.Client{Transport: once, CheckRedirect: noRedirect}
}

// endpointTransport keeps a connection for each slot, through no proxy, and passes bodies on as they are.
func endpointTransport(slots int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: slots, IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// runOnce gives a claimed call to the endpoint and records its outcome, whether the entry still listens or not.
func (a *Agent) runOnce(ctx context.Context, d *wirepb.Dispatch, stream *wire.Stream) {
	listening, stopListening := context.WithCancel(ctx)
	defer stopListening()
	left := make(chan struct{})
	go func() {
		defer close(left)
		// An entry that left takes no more frames; the call itself goes on.
		_ = cancelOnClose(stream, stopListening)
		stream.Close()
	}()
	defer func() {
		stream.Close()
		<-left
	}()
	stop := context.AfterFunc(listening, stream.Close)
	defer stop()
	state, answer, refused := a.callOnce(ctx, d, stream)
	a.mu.Lock()
	a.starts.end(d.GetClaim(), state, answer, time.Now().UnixMilli())
	a.mu.Unlock()
	if refused != nil {
		a.log.Info("claimed call failed", "request", d.GetRequestId(), "claim", d.GetClaim(), "run", refused.GetRun().String(), "error", refused.GetDetail())
		a.refuse(stream, refused)
	}
}

func (a *Agent) callOnce(ctx context.Context, d *wirepb.Dispatch, stream *wire.Stream) (wirepb.Outcome_State, *wirepb.Answer, *wirepb.Refused) {
	request, err := a.request(ctx, d, d.GetRequestId())
	if err != nil {
		return wirepb.Outcome_STATE_TOMBSTONED, nil, refusal(d, wirepb.Run_RUN_NOT_RUN, CodeEndpoint, err.Error())
	}
	response, err := a.once.Do(request)
	if notDialled(err) {
		// No byte left this VM, and the claim stays forbidden.
		return wirepb.Outcome_STATE_TOMBSTONED, nil, refusal(d, wirepb.Run_RUN_NOT_RUN, CodeEndpoint, err.Error())
	}
	if err != nil {
		return wirepb.Outcome_STATE_FAILED, nil, refusal(d, wirepb.Run_RUN_UNKNOWN, CodeEndpoint, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	contentType := response.Header.Get("Content-Type")
	out := &outlet{agent: a, dispatch: d, stream: stream}
	out.start(response.StatusCode, contentType)
	kept, next := bytes.Buffer{}, parts(response, false)
	for {
		part, err := next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return wirepb.Outcome_STATE_FAILED, nil, refusal(d, wirepb.Run_RUN_RAN, CodeEndpoint, "the answer was cut: "+err.Error())
		}
		if kept.Len()+len(part) <= maxKeptBytes {
			_, _ = kept.Write(part)
		}
		out.chunk(part)
	}
	var answer *wirepb.Answer
	if uint64(kept.Len()) == out.bytes {
		answer = &wirepb.Answer{Status: uint32(response.StatusCode), ContentType: contentType, Body: kept.Bytes()}
	}
	a.mu.Lock()
	a.starts.end(d.GetClaim(), wirepb.Outcome_STATE_DONE, answer, time.Now().UnixMilli())
	a.mu.Unlock()
	out.end()
	return wirepb.Outcome_STATE_DONE, answer, nil
}

// notDialled tells whether a call failed before any connection to the endpoint stood.
func notDialled(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
