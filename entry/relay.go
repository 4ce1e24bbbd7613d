package entry

import (
	"context"
	"strconv"
	"time"

	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

const (
	sendTimeout = 2 * time.Second
	// firstFrameTimeout limits the wait for an agent's first frame after a dispatch.
	firstFrameTimeout = time.Second
	// frameTimeout limits the wait for each further frame. Agents send a ping twice a second.
	frameTimeout = 2 * time.Second
	// maxResumes limits how often a response is resumed at the same endpoint.
	maxResumes  = 3
	resumeDelay = 20 * time.Millisecond
	// cancelTimeout limits the send of a Cancel frame to an agent.
	cancelTimeout = 100 * time.Millisecond
)

// MaxResponseBytes limits the size of a response that is not streamed.
const MaxResponseBytes = 64 << 20

// relay runs one attempt at one endpoint: it sends the request to the agent and forwards the response to the caller.
type relay struct {
	entry    *Entry
	request  Request
	endpoint *wirepb.EndpointView
	response *responseWriter
	runID    string
	// attempt numbers the dispatches of this request: the attempt shifted left by 8 bits, plus the number of its resumes. Frames
	// with another number are dropped.
	attempt uint32
	claim   uint64

	// sent is set if a dispatch may have reached the agent, responded once the agent has sent a frame.
	sent        bool
	responded   bool
	resume      bool
	status      int
	contentType string
	offset      uint64
	buffer      answerBuffer
	load        *wirepb.LoadReport
}

func (e *Entry) newRelay(r Request, endpoint *wirepb.EndpointView, attempt uint32, resp *responseWriter) *relay {
	runID := r.ID
	if attempt > 1 {
		runID += "-" + strconv.FormatUint(uint64(attempt), 10)
	}
	created := &relay{entry: e, request: r, endpoint: endpoint, response: resp, runID: runID, attempt: attempt << 8, buffer: answerBuffer{total: &e.answerBytes}}
	if r.Stream {
		// Another endpoint starts the response from the beginning. Chunks that the caller already has are dropped by
		// their offset.
		created.offset = resp.chunksWritten()
	}
	return created
}

// run executes the attempt. If the connection of a repeatable request breaks or times out, run resumes the response over
// a new stream, at most maxResumes times.
func (r *relay) run(ctx context.Context) error {
	for tries := 0; ; tries++ {
		stream, err := r.entry.pool.Open(ctx, r.endpoint.GetAddress())
		if err == nil {
			err = r.exchange(ctx, stream)
		}
		if _, final := AsErrRefused(err); err == nil || final {
			return err
		}
		if ctx.Err() != nil {
			return refusalByRun(!r.sent, CodeDeadlinePassed, "no whole answer came by the deadline")
		}
		if tries >= maxResumes || wire.IsErrUnreachable(err) || !r.request.Repeatable {
			return refusalByRun(!r.sent, CodeEndpointLost, err.Error())
		}
		r.entry.metrics.streamsResumed.Inc()
		r.entry.log.V(1).Info("resuming interrupted response", "request", r.request.ID, "endpoint", r.endpoint.GetName(), "offset", r.offset, "error", err.Error())
		r.resume = true
		r.attempt++
		if !r.request.Stream {
			r.offset = 0
			r.buffer.clear()
		}
		if !sleepContext(ctx, resumeDelay) {
			return unknownRefusal(CodeDeadlinePassed, "no whole answer came by the deadline")
		}
	}
}

// refusalByRun returns a refusal as not run if notRun is set, otherwise one with an unknown outcome.
func refusalByRun(notRun bool, code, detail string) ErrRefused {
	if notRun {
		return notRunRefusal(code, detail)
	}
	return unknownRefusal(code, detail)
}

// sleepContext sleeps for d and reports whether it did so before the context ended.
func sleepContext(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// exchange sends one dispatch and handles the frames of its response. After an error other than ErrRefused, the
// response may be resumed.
func (r *relay) exchange(ctx context.Context, stream *wire.Stream) error {
	defer stream.Close()
	stream.Detach()
	stop := context.AfterFunc(ctx, func() {
		// The cancel makes the agent end the work at once instead of waiting for a resume.
		_ = stream.Send(&wirepb.Frame{Body: &wirepb.Frame_Cancel{Cancel: &wirepb.Cancel{RequestId: r.request.ID}}}, cancelTimeout)
		stream.Close()
	})
	defer stop()
	frame := &wirepb.Frame{CatalogVersion: r.entry.view.Version(), Body: &wirepb.Frame_Dispatch{Dispatch: r.dispatch()}}
	r.sent = true
	if err := stream.Send(frame, sendTimeout); err != nil {
		r.entry.pool.CloseSessionOf(stream)
		return err
	}
	wait := firstFrameTimeout
	for {
		frame, err := stream.Receive(wait)
		if err != nil {
			// Close the whole session: a fault that stalls one of its streams stalls the others too.
			if ctx.Err() == nil {
				r.entry.pool.CloseSessionOf(stream)
			}
			return err
		}
		r.responded, wait = true, frameTimeout
		r.entry.view.NotifyVersion(frame.GetCatalogVersion())
		done, err := r.handleFrame(frame)
		if refused, ok := AsErrRefused(err); ok && refused.Code == CodeCallerLeft {
			_ = stream.Send(&wirepb.Frame{Body: &wirepb.Frame_Cancel{Cancel: &wirepb.Cancel{RequestId: r.request.ID}}}, cancelTimeout)
		}
		if done || err != nil {
			return err
		}
	}
}

func (r *relay) dispatch() *wirepb.Dispatch {
	q := r.request
	return &wirepb.Dispatch{
		RequestId: q.ID, Attempt: r.attempt, Service: q.Service, Model: q.Model, Adapter: q.Adapter,
		Method: q.Method, Path: q.Path, ContentType: q.ContentType, Body: q.Body, Stream: q.Stream,
		RemainingMs: uint64(max(time.Until(q.Deadline), 0).Milliseconds()), Urgency: uint32(q.Urgency),
		Repeatable: q.Repeatable, Offset: r.offset, Resume: r.resume, RunId: r.runID,
		Incarnation: r.endpoint.GetIncarnation(), Claim: r.claim, Caller: q.Caller, IdempotencyKey: q.IdempotencyKey,
	}
}

// handleFrame handles one frame; done reports whether it ended the response.
func (r *relay) handleFrame(frame *wirepb.Frame) (done bool, err error) {
	switch body := frame.GetBody().(type) {
	case *wirepb.Frame_Started:
		if r.belongs(body.Started) {
			r.status, r.contentType = int(body.Started.GetStatus()), body.Started.GetContentType()
		}
	case *wirepb.Frame_Chunk:
		if r.belongs(body.Chunk) {
			return false, r.handleChunk(body.Chunk)
		}
	case *wirepb.Frame_End:
		if r.belongs(body.End) {
			r.load = body.End.GetLoad()
			return true, r.handleEnd(body.End)
		}
	case *wirepb.Frame_Refused:
		if r.belongs(body.Refused) {
			r.load = body.Refused.GetLoad()
			return true, ErrRefused{
				Code: body.Refused.GetCode(), Run: body.Refused.GetRun(), Detail: body.Refused.GetDetail(),
				RetryAfter: max(time.Duration(body.Refused.GetRetryAfterMs())*time.Millisecond, retryDelay()),
			}
		}
	}
	return false, nil
}

// belongs reports whether a frame belongs to this dispatch. Frames of other requests or earlier attempts are counted and
// dropped.
func (r *relay) belongs(frame interface {
	GetRequestId() string
	GetAttempt() uint32
}) bool {
	if frame.GetRequestId() == r.request.ID && frame.GetAttempt() == r.attempt {
		return true
	}
	r.entry.metrics.framesDropped.Inc()
	return false
}

// handleChunk forwards one chunk. It drops duplicates and returns ErrChunkGap if a chunk is missing.
func (r *relay) handleChunk(c *wirepb.Chunk) error {
	if c.GetOffset() < r.offset {
		r.entry.metrics.framesDropped.Inc()
		return nil
	}
	if c.GetOffset() > r.offset {
		return ErrChunkGap{Want: r.offset, Got: c.GetOffset()}
	}
	r.offset++
	if r.request.Stream {
		return r.forward(func() error { return r.response.writeChunk(c.GetData()) })
	}
	return r.buffer.add(c.GetData())
}

// forward writes the status if it has not been written yet, then calls write.
func (r *relay) forward(write func() error) error {
	err := r.response.writeStatus(r.status, r.contentType)
	if err == nil {
		err = write()
	}
	if IsErrStatusChanged(err) {
		return unknownRefusal(CodeEndpointLost, err.Error())
	}
	if err != nil {
		return ErrRefused{Code: CodeCallerLeft, Run: wirepb.Run_RUN_RAN, Detail: err.Error()}
	}
	return nil
}

// handleEnd checks that no chunk is missing and writes a buffered response.
func (r *relay) handleEnd(e *wirepb.End) error {
	if e.GetChunks() != r.offset {
		return ErrChunkGap{Want: e.GetChunks(), Got: r.offset}
	}
	return r.forward(func() error {
		if r.request.Stream || len(r.buffer.data) == 0 {
			return nil
		}
		return r.response.writeChunk(r.buffer.data)
	})
}

// runState returns whether the request ran, as far as the result of an attempt shows.
func (r *relay) runState(err error) wirepb.Run {
	if err == nil {
		return wirepb.Run_RUN_RAN
	}
	if refused, ok := AsErrRefused(err); ok {
		return refused.Run
	}
	return wirepb.Run_RUN_UNKNOWN
}

// ErrChunkGap is returned if chunks of a response are missing.
type ErrChunkGap struct {
	Want uint64
	Got  uint64
}

// Error implements the error interface.
func (e ErrChunkGap) Error() string {
	return "the answer has a gap: want offset " + strconv.FormatUint(e.Want, 10) + ", got " + strconv.FormatUint(e.Got, 10)
}
