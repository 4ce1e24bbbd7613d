package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"burdocksaddle/engineapi"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

const (
	// maxRetainedBytes bounds the size of a single response that is retained for enquiries.
	maxRetainedBytes = 16 << 20
	dialTimeout      = 2 * time.Second
	idleConnTimeout  = 30 * time.Second
	// maxHeadBytes limits the head of a response, with interim responses before it.
	maxHeadBytes = 32 << 10
	// maxAnswerBytes limits what is read of a response. An entry refuses shorter ones already.
	maxAnswerBytes = 65 << 20
)

// newSingleUseClient returns a client that neither reuses connections nor follows redirects. On a reused connection,
// net/http may retry a request by itself after the connection is lost.
func newSingleUseClient(base *http.Client) *http.Client {
	transport, ok := base.Transport.(*http.Transport)
	if !ok {
		return newEndpointClient(base.Transport)
	}
	singleUse := transport.Clone()
	singleUse.DisableKeepAlives = true
	return newEndpointClient(singleUse)
}

func newEndpointClient(transport http.RoundTripper) *http.Client {
	if transport == nil {
		transport = http.DefaultTransport
	}
	return &http.Client{Transport: engineapi.CheckedTransport{Base: transport}, CheckRedirect: noRedirect}
}

// endpointTransport keeps up to one idle connection per slot, ignores proxy settings and doesn't request compression.
func endpointTransport(slots int) *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: slots, IdleConnTimeout: idleConnTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// runClaimed executes a non-repeatable call and records its outcome, even if the entry disconnects.
func (a *Agent) runClaimed(ctx context.Context, d *wirepb.Dispatch, stream *wire.Stream) {
	listenCtx, stopListening := context.WithCancel(ctx)
	defer stopListening()
	watcherDone := make(chan struct{})
	go func() {
		defer close(watcherDone)
		// When the entry disconnects, only the stream is closed; the call continues.
		_ = cancelOnClose(stream, stopListening)
		stream.Close()
	}()
	defer func() {
		stream.Close()
		<-watcherDone
	}()
	stop := context.AfterFunc(listenCtx, stream.Close)
	defer stop()
	state, answer, refused := a.callClaimed(ctx, d, stream)
	a.mu.Lock()
	a.claims.finish(d.GetClaim(), state, answer, time.Now().UnixMilli())
	a.mu.Unlock()
	if refused != nil {
		a.log.Info("non-repeatable call failed", "request", d.GetRequestId(), "claim", d.GetClaim(), "run", refused.GetRun().String(), "error", refused.GetDetail())
		a.refuse(stream, refused)
	}
}

func (a *Agent) callClaimed(ctx context.Context, d *wirepb.Dispatch, stream *wire.Stream) (wirepb.Outcome_State, *wirepb.Answer, *wirepb.Refused) {
	request, err := a.newEndpointRequest(ctx, d, d.GetRequestId())
	if err != nil {
		return wirepb.Outcome_STATE_TOMBSTONED, nil, newRefusal(d, wirepb.Run_RUN_NOT_RUN, CodeEndpointFailed, err.Error())
	}
	response, err := a.singleUseHTTP.Do(request)
	if isDialError(err) {
		// Nothing was sent to the endpoint. The claim is tombstoned, so it can't be started again.
		return wirepb.Outcome_STATE_TOMBSTONED, nil, newRefusal(d, wirepb.Run_RUN_NOT_RUN, CodeEndpointFailed, err.Error())
	}
	if err != nil {
		return wirepb.Outcome_STATE_FAILED, nil, newRefusal(d, wirepb.Run_RUN_UNKNOWN, CodeEndpointFailed, err.Error())
	}
	defer func() { _ = response.Body.Close() }()
	contentType := response.Header.Get("Content-Type")
	sender := &responseSender{agent: a, dispatch: d, stream: stream}
	sender.setHeader(response.StatusCode, contentType)
	retained, next := bytes.Buffer{}, chunkReader(response, false)
	for {
		chunkData, err := next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return wirepb.Outcome_STATE_FAILED, nil, newRefusal(d, wirepb.Run_RUN_RAN, CodeEndpointFailed, "the answer was cut: "+err.Error())
		}
		switch {
		case sender.totalBytes+uint64(len(chunkData)) > maxAnswerBytes:
			return wirepb.Outcome_STATE_FAILED, nil, newRefusal(d, wirepb.Run_RUN_RAN, CodeEndpointFailed, "the answer is too large")
		case sender.totalBytes+uint64(len(chunkData)) > maxRetainedBytes:
			retained = bytes.Buffer{}
		default:
			_, _ = retained.Write(chunkData)
		}
		sender.sendChunk(chunkData)
	}
	var answer *wirepb.Answer
	if uint64(retained.Len()) == sender.totalBytes {
		answer = &wirepb.Answer{Status: uint32(response.StatusCode), ContentType: contentType, Body: retained.Bytes()}
	}
	a.mu.Lock()
	a.claims.finish(d.GetClaim(), wirepb.Outcome_STATE_DONE, answer, time.Now().UnixMilli())
	a.mu.Unlock()
	sender.finishResponse()
	return wirepb.Outcome_STATE_DONE, answer, nil
}

// isDialError reports whether a call failed before a connection to the endpoint was established.
func isDialError(err error) bool {
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
