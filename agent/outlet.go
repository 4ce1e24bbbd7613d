package agent

import (
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

// outlet sends one attempt's answer back, each part under its offset.
type outlet struct {
	agent    *Agent
	dispatch *wirepb.Dispatch
	stream   *wire.Stream

	status      uint32
	contentType string
	flushed     bool
	offset      uint64
	bytes       uint64
	lost        error
	// held waits for what follows, so that a short answer goes out in one piece.
	held []*wirepb.Frame
}

// start notes status and type; they go out with the first part.
func (o *outlet) start(status int, contentType string) {
	if o.flushed {
		return
	}
	o.status, o.contentType = uint32(status), contentType
	o.held = append(o.held[:0], &wirepb.Frame{Body: &wirepb.Frame_Started{Started: &wirepb.Started{
		RequestId: o.dispatch.GetRequestId(), Attempt: o.dispatch.GetAttempt(), Status: o.status, ContentType: contentType,
	}}})
}

// chunk sends one part, the last one of an answer that is not streamed together with
// its end; it blocks while the entry takes none, which holds the endpoint back.
func (o *outlet) chunk(part []byte) {
	if !o.dispatch.GetStream() && o.offset > 0 {
		o.flush()
	}
	o.bytes += uint64(len(part))
	o.held = append(o.held, &wirepb.Frame{Body: &wirepb.Frame_Chunk{Chunk: &wirepb.Chunk{
		RequestId: o.dispatch.GetRequestId(), Attempt: o.dispatch.GetAttempt(), Offset: o.offset, Data: part,
	}}})
	o.offset++
	if o.dispatch.GetStream() {
		o.flush()
	}
}

func (o *outlet) end() {
	o.held = append(o.held, &wirepb.Frame{CatalogVersion: o.agent.catalogVersion(), Body: &wirepb.Frame_End{End: &wirepb.End{
		RequestId: o.dispatch.GetRequestId(), Attempt: o.dispatch.GetAttempt(), Chunks: o.offset,
		Status: o.status, ContentType: o.contentType, Load: o.agent.load(),
	}}})
	o.flush()
}

// flush keeps the first failure; a stream that is lost takes no more.
func (o *outlet) flush() {
	if o.lost == nil && len(o.held) > 0 {
		o.lost = o.stream.SendAll(0, o.held...)
	}
	o.flushed = true
	o.held = o.held[:0]
}
