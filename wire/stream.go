package wire

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"burdocksaddle/wirepb"
)

// MaxFrameBytes limits the size of a frame, which must hold the largest body that a caller may send.
const MaxFrameBytes = 72 << 20

const (
	readBufferBytes = 8 << 10
	// firstFrameBytes is the size of the first buffer for a frame.
	firstFrameBytes = 64 << 10
	// maxWriteBytes limits a single write, within whose time some of it must have been sent.
	maxWriteBytes = 32 << 10
	// maxReusedBufferBytes limits the send buffer that a stream keeps for reuse.
	maxReusedBufferBytes = 64 << 10
)

// Stream carries one call. It is closed when the context that it was opened with ends.
type Stream struct {
	conn     net.Conn
	incoming *incoming
	reader   *bufio.Reader
	sendMu   sync.Mutex
	buffer   []byte
	stop     func() bool
	peer     string
	// memory counts that of frames, if it is set; taken is what is counted for the last one.
	memory countedConn
	taken  atomic.Int64
}

// incoming reads from a connection. Each read may take as long as the timeout, so that a frame is not given up while it arrives.
type incoming struct {
	conn    net.Conn
	timeout time.Duration
	// failure is the error of an earlier read of the same frame.
	failure error
	closed  atomic.Bool
	// consumed gets the number of bytes of each read, if it is set.
	consumed func(bytes int)
}

func (i *incoming) Read(p []byte) (n int, err error) {
	if i.failure != nil {
		return 0, i.failure
	}
	defer func() { i.failure = err }()
	if err := i.conn.SetReadDeadline(deadline(i.timeout)); err != nil {
		return 0, err
	}
	if i.closed.Load() { // otherwise the deadline above may have replaced the one that close set
		return 0, net.ErrClosed
	}
	n, err = i.conn.Read(p)
	if i.consumed != nil {
		i.consumed(n)
	}
	return n, err
}

func (i *incoming) close() {
	i.closed.Store(true)
	_ = i.conn.Close()
	// A yamux stream closes its own side only; the deadline unblocks a Receive that still waits for the peer.
	_ = i.conn.SetReadDeadline(time.Now())
}

func newStream(ctx context.Context, conn net.Conn, peer string) *Stream {
	s := &Stream{conn: conn, incoming: &incoming{conn: conn}, peer: peer}
	s.reader = bufio.NewReaderSize(s.incoming, readBufferBytes)
	s.stop = context.AfterFunc(ctx, s.incoming.close)
	return s
}

// Detach detaches the stream from the context that it was opened with; from then on the caller of Detach must close it.
func (s *Stream) Detach() { s.stop() }

// Peer returns the address of the peer.
func (s *Stream) Peer() string { return s.peer }

// Send writes one frame. It returns ErrStreamBroken if the frame makes no progress within the timeout; with timeout 0 only the
// stream's context limits it.
func (s *Stream) Send(frame *wirepb.Frame, timeout time.Duration) error {
	return s.SendAll(timeout, frame)
}

// SendAll is like Send, but writes several frames in a single write.
func (s *Stream) SendAll(timeout time.Duration, frames ...*wirepb.Frame) error {
	s.sendMu.Lock()
	defer s.sendMu.Unlock()
	if err := s.write(timeout, frames...); err != nil {
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
	if err := s.write(0, &wirepb.Frame{Body: &wirepb.Frame_Ping{Ping: &wirepb.Ping{}}}); err != nil {
		_ = s.conn.Close()
		return ErrStreamBroken{Peer: s.peer, Step: "ping", Cause: err}
	}
	return nil
}

// write encodes length-prefixed frames into the stream's reused buffer and sends them, in a single write unless they are large.
func (s *Stream) write(timeout time.Duration, frames ...*wirepb.Frame) error {
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
	for len(buffer) > 0 {
		if err := s.conn.SetWriteDeadline(deadline(timeout)); err != nil {
			return err
		}
		n, err := s.conn.Write(buffer[:min(len(buffer), maxWriteBytes)])
		if err != nil {
			return err
		}
		buffer = buffer[n:]
	}
	return nil
}

// Receive reads one frame. It returns ErrStreamBroken if nothing arrives within the timeout; with timeout 0 only the stream's context
// limits it.
func (s *Stream) Receive(timeout time.Duration) (*wirepb.Frame, error) {
	s.incoming.timeout, s.incoming.failure = timeout, nil
	frame := &wirepb.Frame{}
	s.releaseFrame()
	if err := readFrame(s.reader, frame, s.takeFrame); err != nil {
		return nil, ErrStreamBroken{Peer: s.peer, Step: "receive", Cause: err}
	}
	return frame, nil
}

// takeFrame counts memory for the frame that arrives, and reports whether there is room for it.
func (s *Stream) takeFrame(bytes int) bool {
	if s.memory == nil {
		return true
	}
	if !s.memory.Take(bytes) {
		return false
	}
	s.taken.Add(int64(bytes))
	return true
}

// releaseFrame ends the use of memory by the last frame.
func (s *Stream) releaseFrame() {
	if taken := s.taken.Swap(0); taken > 0 {
		s.memory.Return(int(taken))
	}
}

// frameCopies is how many copies of a frame's data there are once it is decoded.
const frameCopies = 2

// readFrame reads a length and a frame. Its buffer grows with what arrives, not with the length that the peer announces. Frames that are longer
// than the reader's buffer are counted by take.
func readFrame(reader *bufio.Reader, frame *wirepb.Frame, take func(bytes int) bool) error {
	length, err := binary.ReadUvarint(reader)
	if err != nil {
		return err
	}
	if length > MaxFrameBytes {
		return ErrFrameTooLarge{Bytes: length}
	}
	size := int(length)
	if size <= readBufferBytes {
		data, err := reader.Peek(size)
		if err != nil {
			return unexpectedEnd(err)
		}
		defer func() { _, _ = reader.Discard(size) }() // it is buffered
		return proto.Unmarshal(data, frame)
	}
	if !take(frameCopies * min(size, firstFrameBytes)) {
		return ErrNoMemory{Bytes: size}
	}
	data := make([]byte, 0, min(size, firstFrameBytes))
	for {
		n, err := io.ReadFull(reader, data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err != nil {
			return unexpectedEnd(err)
		}
		if len(data) == size {
			return proto.Unmarshal(data, frame)
		}
		larger := min(size, 2*cap(data))
		if !take(frameCopies * (larger - cap(data))) {
			return ErrNoMemory{Bytes: size}
		}
		data = append(make([]byte, 0, larger), data...)
	}
}

// unexpectedEnd returns the error of a read within a frame.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Close closes the stream in both directions.
func (s *Stream) Close() {
	s.stop()
	s.incoming.close()
}

// discard discards what has arrived on a closed stream of a server and releases its buffer. It returns false if there is more than a peer sends that
// waits for the end of its call.
func (s *Stream) discard(accepted *yamux.Stream) bool {
	n, _ := io.CopyN(io.Discard, accepted, maxUnreadBytes) // the deadline has expired: what is there can be read, nothing is waited for
	s.incoming.consumed(int(n))
	accepted.Shrink()
	return n < maxUnreadBytes
}

func deadline(timeout time.Duration) time.Time {
	if timeout <= 0 {
		return time.Time{}
	}
	return time.Now().Add(timeout)
}
