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
	// firstFrame is how long an agent may take to show that a dispatch arrived.
	firstFrame = time.Second
	// silence is how long an agent, which pings twice a second, may say nothing.
	silence = 2 * time.Second
	// resumes is how often an answer is taken up again at one endpoint.
	resumes     = 3
	resumePause = 20 * time.Millisecond
	// cancelTimeout bounds the word to an agent that the caller left.
	cancelTimeout = 100 * time.Millisecond
)

// MaxAnswerBytes bounds an answer that is not streamed.
const MaxAnswerBytes = 64 << 20

// relay carries one attempt at one endpoint: the request to the agent, the answer to the caller.
type relay struct {
	entry    *Entry
	request  Request
	endpoint *wirepb.EndpointView
	guard    *guard
	runID    string
	// attempt numbers the dispatches of this request; frames of others are dropped.
	attempt uint32
	claim   uint64

	// sent tells that a dispatch may have arrived, heard that the agent answered.
	sent        bool
	heard       bool
	resume      bool
	status      int
	contentType string
	offset      uint64
	whole       []byte
	load        *wirepb.LoadReport
}

func (e *Entry) relay(r Request, endpoint *wirepb.EndpointView, attempt uint32, g *guard) *relay {
	runID := r.ID
	if attempt > 1 {
		runID += "-" + strconv.FormatUint(uint64(attempt), 10)
	}
	one := &relay{entry: e, request: r, endpoint: endpoint, guard: g, runID: runID, attempt: attempt << 8}
	if r.Stream {
		// Another endpoint begins anew; what the caller has is dropped by its offset.
		one.offset = g.delivered()
	}
	return one
}

// run carries the attempt through, over a fresh connection whenever the open one breaks or goes silent.
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
			return unknownUnless(!r.sent, CodeDeadlinePassed, "no whole answer came by the deadline")
		}
		if tries >= resumes || wire.IsErrNotReached(err) || !r.request.Repeatable {
			return unknownUnless(!r.sent, CodeEndpointLost, err.Error())
		}
		r.entry.count.resumed.Inc()
		r.entry.log.V(1).Info("answer resumed", "request", r.request.ID, "endpoint", r.endpoint.GetName(), "offset", r.offset, "error", err.Error())
		r.resume = true
		r.attempt++
		if !r.request.Stream {
			r.offset, r.whole = 0, nil
		}
		if !pause(ctx, resumePause) {
			return unknown(CodeDeadlinePassed, "no whole answer came by the deadline")
		}
	}
}

func unknownUnless(notRun bool, code, detail string) ErrRefused {
	if notRun {
		return refuse(code, detail)
	}
	return unknown(code, detail)
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// exchange sends one dispatch and takes its frames; an error that is no refusal may be resumed.
func (r *relay) exchange(ctx context.Context, stream *wire.Stream) error {
	defer stream.Close()
	stream.Detach()
	stop := context.AfterFunc(ctx, func() {
		// The agent ends the work at once, instead of waiting for a resume.
		_ = stream.Send(&wirepb.Frame{Body: &wirepb.Frame_Cancel{Cancel: &wirepb.Cancel{RequestId: r.request.ID}}}, cancelTimeout)
		stream.Close()
	})
	defer stop()
	frame := &wirepb.Frame{CatalogVersion: r.entry.watch.Version(), Body: &wirepb.Frame_Dispatch{Dispatch: r.dispatch()}}
	r.sent = true
	if err := stream.Send(frame, sendTimeout); err != nil {
		r.entry.pool.DropOlder(stream)
		return err
	}
	wait := firstFrame
	for {
		frame, err := stream.Receive(wait)
		if err != nil {
			// The whole session is given up: what stalls one stream stalls the others.
			if ctx.Err() == nil {
				r.entry.pool.DropOlder(stream)
			}
			return err
		}
		r.heard, wait = true, silence
		r.entry.watch.Behind(frame.GetCatalogVersion())
		done, err := r.take(frame)
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
		Incarnation: r.endpoint.GetIncarnation(), Claim: r.claim, Caller: q.Caller, IdempotencyKey: q.Key,
	}
}

// take handles one frame; done tells that the answer is whole.
func (r *relay) take(frame *wirepb.Frame) (done bool, err error) {
	switch body := frame.GetBody().(type) {
	case *wirepb.Frame_Started:
		if r.own(body.Started) {
			r.status, r.contentType = int(body.Started.GetStatus()), body.Started.GetContentType()
		}
	case *wirepb.Frame_Chunk:
		if r.own(body.Chunk) {
			return false, r.takeChunk(body.Chunk)
		}
	case *wirepb.Frame_End:
		if r.own(body.End) {
			r.load = body.End.GetLoad()
			return true, r.end(body.End)
		}
	case *wirepb.Frame_Refused:
		if r.own(body.Refused) {
			r.load = body.Refused.GetLoad()
			return true, ErrRefused{
				Code: body.Refused.GetCode(), Run: body.Refused.GetRun(), Detail: body.Refused.GetDetail(),
				RetryAfter: max(time.Duration(body.Refused.GetRetryAfterMs())*time.Millisecond, spread()),
			}
		}
	}
	return false, nil
}

// own tells whether a frame belongs to this dispatch; late and crossed ones are dropped and counted.
func (r *relay) own(frame interface {
	GetRequestId() string
	GetAttempt() uint32
}) bool {
	if frame.GetRequestId() == r.request.ID && frame.GetAttempt() == r.attempt {
		return true
	}
	r.entry.count.dropped.Inc()
	return false
}

// takeChunk passes one part on; one that was passed on before is dropped, a gap breaks the stream.
func (r *relay) takeChunk(c *wirepb.Chunk) error {
	if c.GetOffset() < r.offset {
		r.entry.count.dropped.Inc()
		return nil
	}
	if c.GetOffset() > r.offset {
		return ErrAnswerGap{Want: r.offset, Got: c.GetOffset()}
	}
	r.offset++
	if r.request.Stream {
		return r.pass(func() error { return r.guard.part(c.GetData()) })
	}
	if len(r.whole)+len(c.GetData()) > MaxAnswerBytes {
		return ErrRefused{Code: CodeAnswerTooLarge, Run: wirepb.Run_RUN_RAN, Detail: "the answer is larger than what is passed on whole"}
	}
	r.whole = append(r.whole, c.GetData()...)
	return nil
}

// pass starts the answer where it has not begun and passes a part of it on.
func (r *relay) pass(part func() error) error {
	err := r.guard.start(r.status, r.contentType)
	if err == nil {
		err = part()
	}
	if IsErrStatusChanged(err) {
		return unknown(CodeEndpointLost, err.Error())
	}
	if err != nil {
		return ErrRefused{Code: CodeCallerLeft, Run: wirepb.Run_RUN_RAN, Detail: err.Error()}
	}
	return nil
}

// end checks that the answer is whole.
func (r *relay) end(e *wirepb.End) error {
	if e.GetChunks() != r.offset {
		return ErrAnswerGap{Want: e.GetChunks(), Got: r.offset}
	}
	return r.pass(func() error {
		if r.request.Stream || len(r.whole) == 0 {
			return nil
		}
		return r.guard.part(r.whole)
	})
}

// ran says what is known of the run after an attempt.
func (r *relay) ran(err error) wirepb.Run {
	if err == nil {
		return wirepb.Run_RUN_RAN
	}
	if refused, ok := AsErrRefused(err); ok {
		return refused.Run
	}
	return wirepb.Run_RUN_UNKNOWN
}

// ErrAnswerGap tells that parts of an answer are missing.
type ErrAnswerGap struct {
	Want uint64
	Got  uint64
}

// Error implements error.
func (e ErrAnswerGap) Error() string {
	return "the answer has a gap: want offset " + strconv.FormatUint(e.Want, 10) + ", got " + strconv.FormatUint(e.Got, 10)
}
