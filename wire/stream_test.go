package wire

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"burdocksaddle/wirepb"
)

func chunk(size int) *wirepb.Frame {
	return &wirepb.Frame{Body: &wirepb.Frame_Chunk{Chunk: &wirepb.Chunk{RequestId: "request", Attempt: 1, Offset: 7, Data: make([]byte, size)}}}
}

func pair(t testing.TB) (*Stream, *Stream) {
	one, other := net.Pipe()
	a, b := newStream(context.Background(), one, "a"), newStream(context.Background(), other, "b")
	t.Cleanup(a.Close)
	t.Cleanup(b.Close)
	return a, b
}

func TestFramesArriveWhole(t *testing.T) {
	for _, size := range []int{0, 1, 1 << 10, keptBufferBytes + 1, 1 << 20} {
		a, b := pair(t)
		sent := make(chan error, 1)
		go func() { sent <- a.Send(chunk(size), time.Second) }()
		got, err := b.Receive(time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(chunk(size), got, protocmp.Transform()); diff != "" {
			t.Errorf("%d bytes: %s", size, diff)
		}
		if err := <-sent; err != nil {
			t.Error(err)
		}
	}
}

// TestNothingFollowsACutFrame checks that a send that ran into its timeout ends the stream.
func TestNothingFollowsACutFrame(t *testing.T) {
	a, _ := pair(t)
	if err := a.Send(chunk(1<<10), 10*time.Millisecond); !IsErrStreamBroken(err) || !IsTimeout(err) {
		t.Errorf("got %v", err)
	}
	if err := a.Send(chunk(1), time.Second); !IsErrStreamBroken(err) {
		t.Errorf("a frame followed a cut one: %v", err)
	}
}

func TestPingGivesWay(t *testing.T) {
	a, _ := pair(t)
	blocked := make(chan error, 1)
	go func() { blocked <- a.Send(chunk(1), 0) }()
	for a.send.TryLock() {
		a.send.Unlock()
		time.Sleep(time.Millisecond)
	}
	if err := a.TryPing(); err != nil {
		t.Errorf("a ping waited for a frame under way: %v", err)
	}
	a.Close()
	if err := <-blocked; err == nil {
		t.Error("a closed stream sent a frame")
	}
}

// TestOpenEndsWithItsContext opens streams to a peer that accepts and says nothing.
func TestOpenEndsWithItsContext(t *testing.T) {
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
			if !IsErrNotReached(err) {
				t.Errorf("got %v", err)
			}
		case <-time.After(5 * time.Second):
			t.Fatal("one dial delays another caller past its deadline")
		}
	}
}

// discard is a connection that takes everything.
type discard struct{ net.Conn }

func (discard) Write(p []byte) (int, error)      { return len(p), nil }
func (discard) SetWriteDeadline(time.Time) error { return nil }

// loop gives the same bytes over and over.
type loop struct {
	net.Conn
	data []byte
	at   int
}

func (l *loop) Read(p []byte) (int, error) {
	if l.at == len(l.data) {
		l.at = 0
	}
	n := copy(p, l.data[l.at:])
	l.at += n
	return n, nil
}

func (l *loop) SetReadDeadline(time.Time) error { return nil }

// record keeps what is written.
type record struct {
	discard
	data []byte
}

func (r *record) Write(p []byte) (int, error) {
	r.data = append(r.data, p...)
	return len(p), nil
}

var _ io.Writer = (*record)(nil)

func BenchmarkSend(b *testing.B) {
	stream := newStream(context.Background(), discard{}, "peer")
	frame := chunk(200)
	b.ReportAllocs()
	for b.Loop() {
		if err := stream.Send(frame, 0); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkReceive(b *testing.B) {
	kept := &record{}
	if err := newStream(context.Background(), kept, "peer").Send(chunk(200), 0); err != nil {
		b.Fatal(err)
	}
	stream := newStream(context.Background(), &loop{data: kept.data}, "peer")
	b.ReportAllocs()
	for b.Loop() {
		if _, err := stream.Receive(0); err != nil {
			b.Fatal(err)
		}
	}
}
