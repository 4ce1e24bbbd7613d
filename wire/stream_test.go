package wire

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"burdocksaddle/wirepb"
)

func newChunk(size int) *wirepb.Frame {
	return &wirepb.Frame{Body: &wirepb.Frame_Chunk{Chunk: &wirepb.Chunk{RequestId: "request", Attempt: 1, Offset: 7, Data: make([]byte, size)}}}
}

func newStreamPair(t testing.TB) (*Stream, *Stream) {
	aConn, bConn := net.Pipe()
	a, b := newStream(context.Background(), aConn, "a"), newStream(context.Background(), bConn, "b")
	t.Cleanup(a.Close)
	t.Cleanup(b.Close)
	return a, b
}

func TestFramesArriveComplete(t *testing.T) {
	for _, size := range []int{0, 1, 1 << 10, maxReusedBufferBytes + 1, 1 << 20} {
		a, b := newStreamPair(t)
		sent := make(chan error, 1)
		go func() { sent <- a.Send(newChunk(size), time.Second) }()
		got, err := b.Receive(time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(newChunk(size), got, protocmp.Transform()); diff != "" {
			t.Errorf("%d bytes: %s", size, diff)
		}
		if err := <-sent; err != nil {
			t.Error(err)
		}
	}
}

// TestAnnouncedFrameTakesNoMemory guards against memory that is taken for frames of which peers have sent little but the length.
func TestAnnouncedFrameTakesNoMemory(t *testing.T) {
	const streams, mostMemory = 16, 32 << 20
	var before, now runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	ended := make(chan error, streams)
	for range streams {
		here, there := net.Pipe()
		s := newStream(t.Context(), here, "peer")
		t.Cleanup(s.Close)
		go func() {
			_, err := s.Receive(time.Second)
			ended <- err
		}()
		if _, err := there.Write(binary.AppendUvarint(nil, MaxFrameBytes)); err != nil {
			t.Fatal(err)
		}
		if _, err := there.Write(make([]byte, 2*readBufferBytes)); err != nil {
			t.Fatal(err)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&now)
	if now.HeapAlloc > before.HeapAlloc+mostMemory {
		t.Errorf("%d MB of memory", (now.HeapAlloc-before.HeapAlloc)>>20)
	}
	for range streams {
		if err := <-ended; !IsErrStreamBroken(err) || !IsTimeout(err) {
			t.Error(err)
		}
	}
	a, b := net.Pipe()
	s := newStream(t.Context(), a, "peer")
	t.Cleanup(s.Close)
	go func() { _, _ = b.Write(binary.AppendUvarint(nil, MaxFrameBytes+1)) }()
	var tooLarge ErrFrameTooLarge
	if _, err := s.Receive(time.Second); !errors.As(err, &tooLarge) {
		t.Error(err)
	}
}

// TestSendTimeoutClosesStream checks that no frame can be sent after one that was cut short by its timeout.
func TestSendTimeoutClosesStream(t *testing.T) {
	a, _ := newStreamPair(t)
	if err := a.Send(newChunk(1<<10), 10*time.Millisecond); !IsErrStreamBroken(err) || !IsTimeout(err) {
		t.Errorf("got %v", err)
	}
	if err := a.Send(newChunk(1), time.Second); !IsErrStreamBroken(err) {
		t.Errorf("sent a frame after a truncated one: %v", err)
	}
}

// slowConn passes a few bytes at a time, with a pause before each part.
type slowConn struct{ net.Conn }

const (
	slowPartBytes = 16 << 10
	slowPause     = 100 * time.Millisecond
)

func (s slowConn) Read(p []byte) (int, error) {
	time.Sleep(slowPause)
	return s.Conn.Read(p[:min(len(p), slowPartBytes)])
}

func (s slowConn) Write(p []byte) (int, error) {
	for sent := 0; sent < len(p); sent += slowPartBytes {
		time.Sleep(slowPause)
		if n, err := s.Conn.Write(p[sent:min(len(p), sent+slowPartBytes)]); err != nil {
			return sent + n, err
		}
	}
	return len(p), nil
}

func TestSlowFrameIsNotTimedOutWhileItProgresses(t *testing.T) {
	const timeout, size = time.Second, 512 << 10 // takes 3.2 s
	for _, slowSide := range []string{"sender", "receiver"} {
		t.Run(slowSide, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				aConn, bConn := net.Pipe()
				sendTimeout, receiveTimeout := timeout, time.Duration(0)
				if slowSide == "sender" {
					aConn, sendTimeout, receiveTimeout = slowConn{aConn}, 0, timeout
				} else {
					bConn = slowConn{bConn}
				}
				a, b := newStream(t.Context(), aConn, "a"), newStream(t.Context(), bConn, "b")
				defer a.Close()
				defer b.Close()
				sent := make(chan error, 1)
				go func() { sent <- a.Send(newChunk(size), sendTimeout) }()
				got, err := b.Receive(receiveTimeout)
				if err != nil {
					t.Fatal(err)
				}
				if !proto.Equal(newChunk(size), got) {
					t.Error("the frame that arrived is not the one that was sent")
				}
				if err := <-sent; err != nil {
					t.Error(err)
				}
			})
		})
	}
}

func TestReceiveTimesOutWithoutProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		aConn, bConn := net.Pipe()
		b := newStream(t.Context(), bConn, "b")
		defer b.Close()
		go func() { _, _ = aConn.Write([]byte{100, 1, 2, 3}) }() // the start of a frame of 100 bytes
		start := time.Now()
		if _, err := b.Receive(time.Second); !IsErrStreamBroken(err) || !IsTimeout(err) {
			t.Errorf("got %v", err)
		}
		if diff := cmp.Diff(time.Second, time.Since(start)); diff != "" {
			t.Error(diff)
		}
	})
}

func TestCloseEndsReceiveWithoutTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, bConn := net.Pipe()
		b := newStream(t.Context(), bConn, "b")
		ended := make(chan error, 1)
		go func() {
			_, err := b.Receive(0)
			ended <- err
		}()
		synctest.Wait()
		b.Close()
		if err := <-ended; !IsErrStreamBroken(err) {
			t.Errorf("got %v", err)
		}
		if _, err := b.Receive(0); !IsErrStreamBroken(err) {
			t.Errorf("received on a closed stream: %v", err)
		}
	})
}

func TestPingSkippedDuringSend(t *testing.T) {
	a, _ := newStreamPair(t)
	blocked := make(chan error, 1)
	go func() { blocked <- a.Send(newChunk(1), 0) }()
	for a.sendMu.TryLock() {
		a.sendMu.Unlock()
		time.Sleep(time.Millisecond)
	}
	if err := a.TryPing(); err != nil {
		t.Errorf("ping failed while another frame was being sent: %v", err)
	}
	a.Close()
	if err := <-blocked; err == nil {
		t.Error("sent a frame on a closed stream")
	}
}

// TestOpenRespectsContext opens two streams while the dial blocks until its context ends. Both must fail in time: dials to one
// address are serialised, so the second must not wait longer than its own context allows.
func TestOpenRespectsContext(t *testing.T) {
	p := NewPool(WithDial(func(ctx context.Context, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}))
	defer p.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	ended := make(chan error, 2)
	for range 2 {
		go func() {
			_, err := p.Open(ctx, "address")
			ended <- err
		}()
	}
	for range 2 {
		select {
		case err := <-ended:
			if !IsErrUnreachable(err) {
				t.Errorf("got %v", err)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("a blocked dial delays another caller past its deadline")
		}
	}
}

// discardConn is a connection that discards all writes.
type discardConn struct{ net.Conn }

func (discardConn) Write(p []byte) (int, error)      { return len(p), nil }
func (discardConn) SetWriteDeadline(time.Time) error { return nil }

// loopConn is a connection that returns the same bytes again and again.
type loopConn struct {
	net.Conn
	data   []byte
	offset int
}

func (l *loopConn) Read(p []byte) (int, error) {
	if l.offset == len(l.data) {
		l.offset = 0
	}
	n := copy(p, l.data[l.offset:])
	l.offset += n
	return n, nil
}

func (l *loopConn) SetReadDeadline(time.Time) error { return nil }

// recordConn is a connection that records all writes.
type recordConn struct {
	discardConn
	data []byte
}

func (r *recordConn) Write(p []byte) (int, error) {
	r.data = append(r.data, p...)
	return len(p), nil
}

var _ io.Writer = (*recordConn)(nil)

func BenchmarkSend(b *testing.B) {
	stream := newStream(context.Background(), discardConn{}, "peer")
	frame := newChunk(200)
	b.ReportAllocs()
	for b.Loop() {
		if err := stream.Send(frame, 0); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkReceive(b *testing.B) {
	recorded := &recordConn{}
	if err := newStream(context.Background(), recorded, "peer").Send(newChunk(200), 0); err != nil {
		b.Fatal(err)
	}
	stream := newStream(context.Background(), &loopConn{data: recorded.data}, "peer")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := stream.Receive(0); err != nil {
			b.Fatal(err)
		}
	}
}
