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
	started     bool
	offset      uint64
	bytes       uint64
	lost        error
}

func (o *outlet) start(status int, contentType string) {
	if o.started {
		return
	}
	o.started, o.status, o.contentType = true, uint32(status), contentType
	o.send(&wirepb.Frame{Body: &wirepb.Frame_Started{Started: &wirepb.Started{
		RequestId: o.dispatch.GetRequestId(), Attempt: o.dispatch.GetAttempt(), Status: o.status, ContentType: contentType,
	}}})
}

// chunk sends one part; it blocks while the entry takes none, which holds the endpoint back.
func (o *outlet) chunk(part []byte) {
	o.bytes += uint64(len(part))
	o.send(&wirepb.Frame{Body: &wirepb.Frame_Chunk{Chunk: &wirepb.Chunk{
		RequestId: o.dispatch.GetRequestId(), Attempt: o.dispatch.GetAttempt(), Offset: o.offset, Data: part,
	}}})
	o.offset++
}

func (o *outlet) end() {
	o.send(&wirepb.Frame{CatalogVersion: o.agent.catalogVersion(), Body: &wirepb.Frame_End{End: &wirepb.End{
		RequestId: o.dispatch.GetRequestId(), Attempt: o.dispatch.GetAttempt(), Chunks: o.offset,
		Status: o.status, ContentType: o.contentType, Load: o.agent.load(),
	}}})
}

// send keeps the first failure; a stream that is lost takes no more.
func (o *outlet) send(frame *wirepb.Frame) {
	if o.lost == nil {
		o.lost = o.stream.Send(frame, 0)
	}
}
