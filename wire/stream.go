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

// MaxFrameBytes bounds one frame, the largest body a caller may send included.
const MaxFrameBytes = 72 << 20

const (
	readBufferBytes = 8 << 10
	// keptBufferBytes bounds the send buffer that a stream holds on to.
	keptBufferBytes = 64 << 10
)

// Stream is one call; it closes when the context of its opening ends.
type Stream struct {
	conn   net.Conn
	reader *bufio.Reader
	send   sync.Mutex
	buffer []byte
	stop   func() bool
	peer   string
}

func newStream(ctx context.Context, conn net.Conn, peer string) *Stream {
	s := &Stream{conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), peer: peer}
	s.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	return s
}

// Detach frees the stream from the context of its opening; whoever calls it closes the stream.
func (s *Stream) Detach() { s.stop() }

// Peer returns the address of the other side.
func (s *Stream) Peer() string { return s.peer }

// Send writes one frame within the timeout, 0 waits for the stream's context; it fails with ErrStreamBroken.
func (s *Stream) Send(frame *wirepb.Frame, timeout time.Duration) error {
	return s.SendAll(timeout, frame)
}

// SendAll writes frames in one piece, as Send does one.
func (s *Stream) SendAll(timeout time.Duration, frames ...*wirepb.Frame) error {
	s.send.Lock()
	defer s.send.Unlock()
	if err := s.conn.SetWriteDeadline(deadline(timeout)); err != nil {
		return ErrStreamBroken{Peer: s.peer, Step: "send", Cause: err}
	}
	if err := s.write(frames...); err != nil {
		// A part of the frame may be out, so nothing can follow it.
		_ = s.conn.Close()
		return ErrStreamBroken{Peer: s.peer, Step: "send", Cause: err}
	}
	return nil
}

// TryPing tells the peer that this side works; while another frame is under way it does nothing.
func (s *Stream) TryPing() error {
	if !s.send.TryLock() {
		return nil
	}
	defer s.send.Unlock()
	if err := s.conn.SetWriteDeadline(time.Time{}); err != nil {
		return ErrStreamBroken{Peer: s.peer, Step: "ping", Cause: err}
	}
	if err := s.write(&wirepb.Frame{Body: &wirepb.Frame_Ping{Ping: &wirepb.Ping{}}}); err != nil {
		_ = s.conn.Close()
		return ErrStreamBroken{Peer: s.peer, Step: "ping", Cause: err}
	}
	return nil
}

// write sends each frame behind its length, in one piece from a buffer that the stream keeps.
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
	if cap(buffer) <= keptBufferBytes {
		s.buffer = buffer
	}
	_, err := s.conn.Write(buffer)
	return err
}

// Receive reads one frame within the timeout, 0 waits for the stream's context; it fails with ErrStreamBroken.
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

// Close ends the call in both directions.
func (s *Stream) Close() {
	s.stop()
	_ = s.conn.Close()
	// Closing ends this side only; the deadline wakes a Receive that still waits for the other.
	_ = s.conn.SetReadDeadline(time.Now())
}

func deadline(timeout time.Duration) time.Time {
	if timeout <= 0 {
		return time.Time{}
	}
	return time.Now().Add(timeout)
}
