package wire

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"burdocksaddle/wirepb"
)

// MaxFrameBytes limits the size of a frame, which must hold the largest body that a caller may send.
const MaxFrameBytes = 72 << 20

const (
	readBufferBytes = 8 << 10
	// maxReusedBufferBytes limits the send buffer that a stream keeps for reuse.
	maxReusedBufferBytes = 64 << 10
)

// Stream carries one call. It is closed when the context that it was opened with ends.
type Stream struct {
	conn   net.Conn
	reader *bufio.Reader
	sendMu sync.Mutex
	buffer []byte
	stop   func() bool
	peer   string
}

func newStream(ctx context.Context, conn net.Conn, peer string) *Stream {
	s := &Stream{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), peer: peer}
	s.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	return s
}

// Detach detaches the stream from the context that it was opened with; from then on the caller of Detach must close it.
func (s *Stream) Detach() { s.stop() }

// Peer returns the address of the peer.
func (s *Stream) Peer() string { return s.peer }

// Send writes one frame within the timeout; with timeout 0 only the stream's context limits it. It returns ErrStreamBroken if it
// fails.
func (s *Stream) Send(frame *wirepb.Frame, timeout time.Duration) error {
	return s.SendAll(timeout, frame)
}

// SendAll is like Send, but writes several frames in a single write.
func (s *Stream) SendAll(timeout time.Duration, frames ...*wirepb.Frame) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if err := s.conn.SetWriteDeadline(deadline(timeout)); err != nil {
		return ErrStreamBroken{Peer: s.peer, Step: "send", Cause: err}
	}
	if err := s.write(frames...); err != nil {
		// A part of the frame may have been sent, so no other frame can follow.
		_ = s.conn.Close()
		return ErrStreamBroken{Peer: s.peer, Step: "send", Cause: err}
	}
	return nil
}

// TryPing sends a ping to show the peer that this side is alive. It does nothing while another frame is being sent.
func (s *Stream) TryPing() error {
	if !s.sendMu.TryLock() {
		return nil
	}
	defer s.sendMu.Unlock()
	if err := s.conn.SetWriteDeadline(time.Time{}); err != nil {
		return ErrStreamBroken{Peer: s.peer, Step: "ping", Cause: err}
	}
	if err := s.write(&wirepb.Frame{Body: &wirepb.Frame_Ping{Ping: &wirepb.Ping{}}}); err != nil {
		_ = s.conn.Close()
		return ErrStreamBroken{Peer: s.peer, Step: "ping", Cause: err}
	}
	return nil
}

// write encodes length-prefixed frames into the stream's reused buffer and sends them in a single write.
func (s *Stream) write(frames ...*wirepb.Frame) error {
	var options proto.MarshalOptions
	buffer := s.buffer[:0]
	for _, frame := range frames {
		var err error
		buffer = protowire.AppendVarint(buffer, uint64(options.Size(frame)))
		if buffer, err = options.MarshalAppend(buffer, frame); err != nil {
			return err
		}
	}
	if cap(buffer) <= maxReusedBufferBytes {
		s.buffer = buffer
	}
	_, err := s.conn.Write(buffer)
	return err
}

// Receive reads one frame within the timeout; with timeout 0 only the stream's context limits it. It returns ErrStreamBroken if
// it fails.
func (s *Stream) Receive(timeout time.Duration) (*wirepb.Frame, error) {
	if err := s.conn.SetReadDeadline(deadline(timeout)); err != nil {
		return nil, ErrStreamBroken{Peer: s.peer, Step: "receive", Cause: err}
	}
	frame := &wirepb.Frame{}
	options := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}
	if err := options.UnmarshalFrom(s.reader, frame); err != nil {
		return nil, ErrStreamBroken{Peer: s.peer, Step: "receive", Cause: err}
	}
	return frame, nil
}

// Close closes the stream in both directions.
func (s *Stream) Close() {
	s.stop()
	_ = s.conn.Close()
	// A yamux stream closes its own side only; the deadline unblocks a Receive that still waits for the peer.
	_ = s.conn.SetReadDeadline(time.Now())
}

func deadline(timeout time.Duration) time.Time {
	if timeout <= 0 {
		return time.Time{}
	}
	return time.Now().Add(timeout)
}
