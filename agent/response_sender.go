package agent

import (
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

// responseSender streams the response of one attempt to the entry in chunks with consecutive offsets.
type responseSender struct {
	agent    *Agent
	dispatch *wirepb.Dispatch
	stream   *wire.Stream

	status      uint32
	contentType string
	headersSent bool
	nextOffset  uint64
	totalBytes  uint64
	sendErr     error
	// pending holds frames not yet sent, so that a short response is sent in a single write.
	pending []*wirepb.Frame
}

// setHeader stores the status and content type, which are sent together with the first chunk.
func (rs *responseSender) setHeader(status int, contentType string) {
	if rs.headersSent {
		return
	}
	rs.status, rs.contentType = uint32(status), contentType
	rs.pending = append(rs.pending[:0], &wirepb.Frame{Body: &wirepb.Frame_Started{Started: &wirepb.Started{
		RequestId: rs.dispatch.GetRequestId(), Attempt: rs.dispatch.GetAttempt(), Status: rs.status, ContentType: contentType,
	}}})
}

// sendChunk queues a chunk and flushes as needed. Without streaming, the last chunk is sent together with the end frame.
// It blocks while the entry isn't reading, which applies backpressure to the endpoint.
func (rs *responseSender) sendChunk(chunkData []byte) {
	if !rs.dispatch.GetStream() && rs.nextOffset > 0 {
		rs.flush()
	}
	rs.totalBytes += uint64(len(chunkData))
	rs.pending = append(rs.pending, &wirepb.Frame{Body: &wirepb.Frame_Chunk{Chunk: &wirepb.Chunk{
		RequestId: rs.dispatch.GetRequestId(), Attempt: rs.dispatch.GetAttempt(), Offset: rs.nextOffset, Data: chunkData,
	}}})
	rs.nextOffset++
	if rs.dispatch.GetStream() {
		rs.flush()
	}
}

func (rs *responseSender) finishResponse() {
	rs.pending = append(rs.pending, &wirepb.Frame{CatalogVersion: rs.agent.catalogVersion(), Body: &wirepb.Frame_End{End: &wirepb.End{
		RequestId: rs.dispatch.GetRequestId(), Attempt: rs.dispatch.GetAttempt(), Chunks: rs.nextOffset,
		Status: rs.status, ContentType: rs.contentType, Load: rs.agent.loadReport(),
	}}})
	rs.flush()
}

// flush sends the pending frames. After the first error, all further frames are dropped.
func (rs *responseSender) flush() {
	if rs.sendErr == nil && len(rs.pending) > 0 {
		rs.sendErr = rs.stream.SendAll(0, rs.pending...)
	}
	rs.headersSent = true
	rs.pending = rs.pending[:0]
}
