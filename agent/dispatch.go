package agent

import (
	"bufio"
	"bytes"
	"context"
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
	sendTimeout   = 5 * time.Second
	chunkBytes    = 32 << 10
	maxEventBytes = 1 << 20
)

// Codes of refusals by an agent.
const (
	CodeLeaving     = "Leaving"
	CodeIncarnation = "OtherIncarnation"
	CodeTombstoned  = "Tombstoned"
	CodeStarted     = "AlreadyStarted"
	CodeEndpoint    = "EndpointFailed"
	CodeDeadline    = "DeadlinePassed"
)

// start is one request that this agent has given its endpoint, or refused for good.
type start struct {
	claim     uint64
	tombstone bool
	done      bool
	answer    *wirepb.Answer
}

// Dispatch runs one attempt of a request and streams its answer back.
func (a *Agent) Dispatch(ctx context.Context, first *wirepb.Frame, stream *wire.Stream) {
	d := first.GetDispatch()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(d.GetRemainingMs())*time.Millisecond)
	defer cancel()
	if refused := a.admit(d); refused != nil {
		a.send(stream, &wirepb.Frame{Body: &wirepb.Frame_Refused{Refused: refused}})
		return
	}
	defer a.leave()
	go cancelOnClose(stream, cancel)
	end, refused := a.relay(ctx, d, stream)
	if refused != nil {
		refused.Load = a.load()
		a.send(stream, &wirepb.Frame{Body: &wirepb.Frame_Refused{Refused: refused}})
		return
	}
	end.Load = a.load()
	a.send(stream, &wirepb.Frame{Body: &wirepb.Frame_End{End: end}})
}

// admit takes a request in, or says why it is not run.
func (a *Agent) admit(d *wirepb.Dispatch) *wirepb.Refused {
	a.mu.Lock()
	defer a.mu.Unlock()
	refuse := func(code string) *wirepb.Refused {
		return &wirepb.Refused{RequestId: d.GetRequestId(), Attempt: d.GetAttempt(), Run: wirepb.Run_RUN_NOT_RUN, Code: code}
	}
	if a.leaving {
		return refuse(CodeLeaving)
	}
	if d.GetIncarnation() != a.incarnation {
		return refuse(CodeIncarnation)
	}
	if !d.GetRepeatable() {
		if known, ok := a.starts[d.GetRequestId()]; ok && known.tombstone {
			return refuse(CodeTombstoned)
		} else if ok {
			refused := refuse(CodeStarted)
			refused.Run = wirepb.Run_RUN_UNKNOWN
			return refused
		}
		a.starts[d.GetRequestId()] = &start{claim: d.GetClaim()}
	}
	a.running++
	return nil
}

func (a *Agent) leave() {
	a.mu.Lock()
	a.running--
	a.mu.Unlock()
}

func (a *Agent) load() *wirepb.LoadReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &wirepb.LoadReport{Running: uint32(a.running), Slots: uint32(a.settings.Agent.Slots)}
}

// cancelOnClose ends the work when the entry leaves or asks for it.
func cancelOnClose(stream *wire.Stream, cancel context.CancelFunc) {
	defer cancel()
	for {
		frame, err := stream.Receive(0)
		if err != nil || frame.GetCancel() != nil {
			return
		}
	}
}

// relay gives the request to the endpoint and sends the parts of its answer on.
func (a *Agent) relay(ctx context.Context, d *wirepb.Dispatch, stream *wire.Stream) (*wirepb.End, *wirepb.Refused) {
	request, err := a.request(ctx, d)
	if err != nil {
		return nil, failed(d, wirepb.Run_RUN_NOT_RUN, err)
	}
	response, err := a.http.Do(request)
	if err != nil {
		return nil, failed(d, wirepb.Run_RUN_UNKNOWN, err)
	}
	defer func() { _ = response.Body.Close() }()
	a.send(stream, &wirepb.Frame{Body: &wirepb.Frame_Started{Started: &wirepb.Started{
		RequestId: d.GetRequestId(), Attempt: d.GetAttempt(),
		Status: uint32(response.StatusCode), ContentType: response.Header.Get("Content-Type"),
	}}})
	next := parts(response, d.GetStream())
	offset := d.GetOffset()
	kept := &bytes.Buffer{}
	for {
		part, err := next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, failed(d, wirepb.Run_RUN_UNKNOWN, err)
		}
		if !d.GetRepeatable() {
			kept.Write(part)
		}
		chunk := &wirepb.Chunk{RequestId: d.GetRequestId(), Attempt: d.GetAttempt(), Offset: offset, Data: part}
		if err := stream.Send(&wirepb.Frame{Body: &wirepb.Frame_Chunk{Chunk: chunk}}, 0); err != nil {
			return nil, failed(d, wirepb.Run_RUN_UNKNOWN, err)
		}
		offset++
	}
	answer := &wirepb.Answer{Status: uint32(response.StatusCode), ContentType: response.Header.Get("Content-Type"), Body: kept.Bytes()}
	a.keep(d, answer)
	return &wirepb.End{
		RequestId: d.GetRequestId(), Attempt: d.GetAttempt(), Chunks: offset,
		Status: answer.GetStatus(), ContentType: answer.GetContentType(),
	}, nil
}

func (a *Agent) request(ctx context.Context, d *wirepb.Dispatch) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, d.GetMethod(), a.settings.Agent.EndpointURL+d.GetPath(), bytes.NewReader(d.GetBody()))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", d.GetContentType())
	request.Header.Set(engineapi.HeaderRequestID, d.GetRequestId())
	request.Header.Set(engineapi.HeaderPriority, "u="+strconv.Itoa(int(d.GetUrgency())))
	if d.GetResume() {
		request.Header.Set(engineapi.HeaderOffset, strconv.FormatUint(d.GetOffset(), 10))
	}
	if d.GetIdempotencyKey() != "" {
		request.Header.Set("Idempotency-Key", d.GetIdempotencyKey())
	}
	return request, nil
}

// parts cuts an answer: a stream by its events, so that offsets count what the engine counts.
func parts(response *http.Response, stream bool) func() ([]byte, error) {
	reader := bufio.NewReaderSize(response.Body, chunkBytes)
	if stream && response.StatusCode == http.StatusOK {
		return func() ([]byte, error) { return readEvent(reader) }
	}
	return func() ([]byte, error) {
		part := make([]byte, chunkBytes)
		n, err := io.ReadFull(reader, part)
		if n > 0 {
			return part[:n], nil
		}
		return nil, err
	}
}

// readEvent reads one server-sent event with its blank line; a cut one is an error.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		if errors.Is(err, io.EOF) && len(event) > 0 {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
		if len(event) > maxEventBytes {
			return nil, bufio.ErrTooLong
		}
		if err == nil && len(bytes.TrimRight(line, "\r\n")) == 0 && len(event) > len(line) {
			return event, nil
		}
	}
}

func failed(d *wirepb.Dispatch, run wirepb.Run, err error) *wirepb.Refused {
	return &wirepb.Refused{RequestId: d.GetRequestId(), Attempt: d.GetAttempt(), Run: run, Code: CodeEndpoint, Detail: err.Error()}
}

// keep records a whole answer for resends.
func (a *Agent) keep(d *wirepb.Dispatch, answer *wirepb.Answer) {
	if d.GetRepeatable() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if known, ok := a.starts[d.GetRequestId()]; ok {
		known.done, known.answer = true, answer
	}
}

func (a *Agent) send(stream *wire.Stream, frame *wirepb.Frame) {
	frame.CatalogVersion = a.catalogVersion()
	if err := stream.Send(frame, sendTimeout); err != nil {
		a.log.V(1).Info("reply not sent", "peer", stream.Peer(), "error", err.Error())
	}
}

// Enquiry says what became of a request and can forbid a late start.
func (a *Agent) Enquiry(_ context.Context, e *wirepb.Enquiry) *wirepb.Frame {
	a.mu.Lock()
	defer a.mu.Unlock()
	outcome := &wirepb.Outcome{Incarnation: a.incarnation}
	known, ok := a.starts[e.GetRequestId()]
	switch {
	case !ok && e.GetTombstone():
		a.starts[e.GetRequestId()] = &start{claim: e.GetClaim(), tombstone: true}
		outcome.State = wirepb.Outcome_STATE_TOMBSTONED
	case !ok:
		outcome.State = wirepb.Outcome_STATE_NOT_SEEN
	case known.tombstone:
		outcome.State = wirepb.Outcome_STATE_TOMBSTONED
	case known.done:
		outcome.State, outcome.Answer = wirepb.Outcome_STATE_DONE, known.answer
	default:
		outcome.State = wirepb.Outcome_STATE_RUNNING
	}
	return &wirepb.Frame{Body: &wirepb.Frame_Outcome{Outcome: outcome}}
}
