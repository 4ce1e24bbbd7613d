package entry

import (
	"context"
	"time"

	"burdocksaddle/wirepb"
)

const sendTimeout = 5 * time.Second

// MaxAnswerBytes bounds an answer that is not streamed.
const MaxAnswerBytes = 64 << 20

// relay carries one attempt: the request to the agent, the answer to the sink.
type relay struct {
	entry    *Entry
	request  Request
	endpoint *wirepb.EndpointView
	attempt  uint32
	claim    uint64
	sink     Sink

	sent        bool
	status      int
	contentType string
	offset      uint64
	whole       []byte
}

func (r *relay) run(ctx context.Context) error {
	stream, err := r.entry.pool.Open(ctx, r.endpoint.GetAddress())
	if err != nil {
		return r.refused(CodeEndpointLost, wirepb.Run_RUN_NOT_RUN, err.Error())
	}
	defer stream.Close()
	frame := &wirepb.Frame{CatalogVersion: r.entry.watch.Version(), Body: &wirepb.Frame_Dispatch{Dispatch: r.dispatch()}}
	if err := stream.Send(frame, sendTimeout); err != nil {
		return r.broken(ctx, err)
	}
	for {
		frame, err := stream.Receive(0)
		if err != nil {
			return r.broken(ctx, err)
		}
		switch body := frame.GetBody().(type) {
		case *wirepb.Frame_Started:
			r.status, r.contentType = int(body.Started.GetStatus()), body.Started.GetContentType()
		case *wirepb.Frame_Chunk:
			if err := r.take(body.Chunk); err != nil {
				return err
			}
		case *wirepb.Frame_End:
			return r.end(body.End)
		case *wirepb.Frame_Refused:
			return ErrRefused{
				Code: body.Refused.GetCode(), Run: body.Refused.GetRun(), Detail: body.Refused.GetDetail(),
				RetryAfter: time.Duration(body.Refused.GetRetryAfterMs()) * time.Millisecond,
			}
		}
	}
}

func (r *relay) dispatch() *wirepb.Dispatch {
	q := r.request
	return &wirepb.Dispatch{
		RequestId: q.ID, Attempt: r.attempt, Service: q.Service, Model: q.Model, Adapter: q.Adapter,
		Method: q.Method, Path: q.Path, ContentType: q.ContentType, Body: q.Body, Stream: q.Stream,
		RemainingMs: uint64(max(time.Until(q.Deadline), 0).Milliseconds()), Urgency: uint32(q.Urgency),
		Repeatable: q.Repeatable, Incarnation: r.endpoint.GetIncarnation(), Claim: r.claim,
		Caller: q.Caller, IdempotencyKey: q.Key,
	}
}

// take passes one part on; parts of other requests, attempts or places are dropped.
func (r *relay) take(c *wirepb.Chunk) error {
	if c.GetRequestId() != r.request.ID || c.GetAttempt() != r.attempt || c.GetOffset() != r.offset {
		return nil
	}
	r.offset++
	if !r.request.Stream {
		if len(r.whole)+len(c.GetData()) > MaxAnswerBytes {
			return r.refused(CodeEndpointLost, wirepb.Run_RUN_RAN, "the answer is larger than what is passed on")
		}
		r.whole = append(r.whole, c.GetData()...)
		return nil
	}
	if err := r.start(); err != nil {
		return err
	}
	if err := r.sink.Part(c.GetData()); err != nil {
		return r.refused(CodeCallerLeft, wirepb.Run_RUN_RAN, err.Error())
	}
	return nil
}

func (r *relay) start() error {
	if r.sent {
		return nil
	}
	r.sent = true
	if err := r.sink.Start(r.status, r.contentType); err != nil {
		return r.refused(CodeCallerLeft, wirepb.Run_RUN_RAN, err.Error())
	}
	return nil
}

// end checks that the answer is whole.
func (r *relay) end(e *wirepb.End) error {
	if e.GetChunks() != r.offset || e.GetRequestId() != r.request.ID {
		return r.refused(CodeEndpointLost, wirepb.Run_RUN_UNKNOWN, "the answer was cut")
	}
	if err := r.start(); err != nil {
		return err
	}
	if !r.request.Stream && len(r.whole) > 0 {
		if err := r.sink.Part(r.whole); err != nil {
			return r.refused(CodeCallerLeft, wirepb.Run_RUN_RAN, err.Error())
		}
	}
	return nil
}

func (r *relay) broken(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return r.refused(CodeDeadlinePassed, wirepb.Run_RUN_UNKNOWN, "the answer did not come in time")
	}
	return r.refused(CodeEndpointLost, wirepb.Run_RUN_UNKNOWN, err.Error())
}

func (r *relay) refused(code string, run wirepb.Run, detail string) error {
	return ErrRefused{Code: code, Run: run, Detail: detail, RetryAfter: time.Second}
}

// outcome is what the ledger records of this attempt.
func (r *relay) outcome(err error) *wirepb.ClaimClose {
	if err == nil {
		return &wirepb.ClaimClose{Run: wirepb.Run_RUN_RAN, Answer: &wirepb.Answer{
			Status: uint32(r.status), ContentType: r.contentType, Body: r.whole,
		}}
	}
	run := wirepb.Run_RUN_UNKNOWN
	if refused, ok := AsErrRefused(err); ok {
		run = refused.Run
	}
	return &wirepb.ClaimClose{Run: run}
}

// replay gives a resend what is known of the first request.
func replay(view *wirepb.ClaimView, sink Sink) error {
	answer := view.GetAnswer()
	if !view.GetClosed() || answer == nil {
		return ErrRefused{Code: CodeOutcomeUnknown, Run: view.GetRun(), Detail: "the first request with this key has no recorded answer", RetryAfter: time.Second}
	}
	if err := sink.Start(int(answer.GetStatus()), answer.GetContentType()); err != nil {
		return err
	}
	return sink.Part(answer.GetBody())
}
