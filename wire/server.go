package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"burdocksaddle/wirepb"
)

const (
	firstFrameTimeout = 5 * time.Second
	replyTimeout      = 5 * time.Second
	maxSessions       = 4096
	// maxStreams limits the open streams of a session, maxFirstStreams those before its first call, streamBytes is the memory that one takes up.
	maxStreams      = 2048
	maxFirstStreams = 256
	streamBytes     = 24 << 10
	// maxUnreadBytes is how much a peer may have sent that the handler of its call did not read.
	maxUnreadBytes = 64 << 10
	// minAcceptDelay and maxAcceptDelay bound the pause after a failed accept. Accepts that fail for acceptPatience end the server.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
	acceptPatience = 10 * time.Second
)

// Handlers holds the handler of each type of call; calls with a nil handler are closed without a reply.
type Handlers struct {
	Dispatch   func(context.Context, *wirepb.Frame, *Stream)
	Enquiry    func(context.Context, *wirepb.Enquiry) *wirepb.Frame
	Watch      func(context.Context, *wirepb.Watch, *Stream)
	Report     func(context.Context, *wirepb.Report) *wirepb.Frame
	Register   func(context.Context, *wirepb.Register) *wirepb.Frame
	Demand     func(context.Context, *wirepb.Demand) *wirepb.Frame
	Propose    func(context.Context, *wirepb.Propose) *wirepb.Frame
	Peer       func(context.Context, *wirepb.PeerMessage, *Stream)
	Members    func(context.Context) *wirepb.Frame
	ForceQuery func(context.Context, *wirepb.ForceQuery) *wirepb.Frame

	Subscribe    func(context.Context, *wirepb.Subscribe, *Stream)
	TableQuery   func(context.Context, *wirepb.TableQuery, *Stream)
	TableChange  func(context.Context, *wirepb.TableChange) *wirepb.Frame
	Adapter      func(context.Context, *wirepb.AdapterCall) *wirepb.Frame
	Order        func(context.Context, *wirepb.EndpointOrder) *wirepb.Frame
	HolderReport func(context.Context, *wirepb.HolderReport) *wirepb.Frame
	Turn         func(context.Context, *wirepb.TurnRequest) *wirepb.Frame
	Trial        func(context.Context, *wirepb.TrialRequest) *wirepb.Frame
	Origin       func(context.Context, *wirepb.OriginQuery) *wirepb.Frame
	Quota        func(context.Context, *wirepb.QuotaRequest) *wirepb.Frame
}

// countedConn is a connection that counts the memory of its session.
type countedConn interface {
	// Admit records that the peer has made a call.
	Admit()
	// Take counts bytes and reports whether there is room for them, Return ends their use.
	Take(bytes int) bool
	Return(bytes int)
}

// uncounted is the countedConn of connections without limits.
type uncounted struct{}

// Admit implements countedConn.
func (uncounted) Admit() {}

// Take implements countedConn.
func (uncounted) Take(int) bool { return true }

// Return implements countedConn.
func (uncounted) Return(int) {}

// Serve accepts sessions until the context ends. The returned channel receives one value once all sessions have ended: the error that
// stopped it, or nil. Accepts that fail for a while, as without a free file descriptor, don't stop it. Where the listener's connections count
// memory, streams, frames and what nobody has read count toward it, and a session that finds none ends.
func Serve(ctx context.Context, listener net.Listener, handlers Handlers) <-chan error {
	ended := make(chan error, 1)
	go func() { ended <- serve(ctx, listener, handlers) }()
	return ended
}

func serve(ctx context.Context, listener net.Listener, handlers Handlers) error {
	ctx, cancel := context.WithCancel(ctx)
	closed := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(closed)
		_ = listener.Close()
	})
	var sessions sync.WaitGroup
	defer func() {
		cancel()
		<-closed
		sessions.Wait()
	}()
	slots := make(chan struct{}, maxSessions)
	var failure acceptFailure
	for {
		conn, err := listener.Accept()
		if ctx.Err() != nil {
			if err == nil {
				_ = conn.Close()
			}
			return nil
		}
		if err != nil {
			if !failure.wait(ctx, err) {
				return err
			}
			continue
		}
		failure = acceptFailure{}
		select {
		case slots <- struct{}{}:
		default:
			_ = conn.Close()
			continue
		}
		sessions.Go(func() {
			defer func() { <-slots }()
			serveSession(ctx, conn, handlers)
		})
	}
}

// acceptFailure is a series of failed accepts.
type acceptFailure struct {
	began time.Time
	delay time.Duration
}

// wait pauses after a failed accept and reports whether the next one may succeed.
func (f *acceptFailure) wait(ctx context.Context, err error) bool {
	if f.began.IsZero() {
		*f = acceptFailure{began: time.Now(), delay: minAcceptDelay}
	}
	if errors.Is(err, net.ErrClosed) || time.Since(f.began) >= acceptPatience {
		return false
	}
	select {
	case <-ctx.Done():
	case <-time.After(f.delay):
	}
	f.delay = min(2*f.delay, maxAcceptDelay)
	return true
}

func serveSession(ctx context.Context, conn net.Conn, handlers Handlers) {
	memory, ok := conn.(countedConn)
	if !ok {
		memory = uncounted{}
	}
	unread := &backlog{memory: memory}
	session, err := yamux.Server(&backlogConn{Conn: conn, backlog: unread}, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	streamsCtx, cancelStreams := context.WithCancel(context.WithoutCancel(ctx))
	closed := make(chan struct{})
	context.AfterFunc(ctx, func() {
		defer close(closed)
		// The session closes first: yamux keeps a stream that closes before its session until a timer expires.
		_ = session.Close()
		cancelStreams()
	})
	closeSession := func() {
		cancel()
		<-closed
	}
	var streams sync.WaitGroup
	defer func() {
		closeSession()
		streams.Wait()
		unread.close()
	}()
	var admitted atomic.Bool
	admit := func() {
		if admitted.CompareAndSwap(false, true) {
			memory.Admit()
		}
	}
	for {
		accepted, err := session.AcceptStream()
		if err != nil {
			return
		}
		most := maxStreams
		if !admitted.Load() {
			most = maxFirstStreams
		}
		if session.NumStreams() > most || !memory.Take(streamBytes) {
			return // yamux would keep what arrives on a stream that is closed alone
		}
		streams.Go(func() {
			defer memory.Return(streamBytes)
			streamCtx, done := context.WithCancel(streamsCtx)
			defer done()
			stream := newStream(streamCtx, accepted, conn.RemoteAddr().String())
			stream.memory, stream.incoming.consumed = memory, unread.remove
			defer stream.releaseFrame()
			if IsErrNoMemory(serveStream(streamCtx, stream, handlers, admit)) {
				closeSession()
			}
			stream.Close()
			for !stream.discard(accepted) {
				closeSession()
			}
		})
	}
}

// serveStream handles the call on a stream, and returns the error if its first frame can't be received.
func serveStream(ctx context.Context, stream *Stream, handlers Handlers, admit func()) error {
	first, err := stream.Receive(firstFrameTimeout)
	if err != nil {
		return err
	}
	admit()
	switch body := first.GetBody().(type) {
	case *wirepb.Frame_Dispatch:
		if handlers.Dispatch != nil {
			handlers.Dispatch(ctx, first, stream)
		}
	case *wirepb.Frame_Watch:
		if handlers.Watch != nil {
			handlers.Watch(ctx, body.Watch, stream)
		}
	case *wirepb.Frame_Subscribe:
		if handlers.Subscribe != nil {
			handlers.Subscribe(ctx, body.Subscribe, stream)
		}
	case *wirepb.Frame_TableQuery:
		if handlers.TableQuery != nil {
			handlers.TableQuery(ctx, body.TableQuery, stream)
		}
	case *wirepb.Frame_PeerMessage:
		if handlers.Peer != nil {
			handlers.Peer(ctx, body.PeerMessage, stream)
		}
	default:
		if reply := replyTo(ctx, first, handlers); reply != nil {
			_ = stream.Send(reply, replyTimeout)
		}
	}
	return nil
}

// replyTo handles calls that consist of one request and one reply frame; it returns nil if there is no handler.
func replyTo(ctx context.Context, first *wirepb.Frame, handlers Handlers) *wirepb.Frame {
	switch body := first.GetBody().(type) {
	case *wirepb.Frame_Enquiry:
		return callHandler(ctx, handlers.Enquiry, body.Enquiry)
	case *wirepb.Frame_Report:
		return callHandler(ctx, handlers.Report, body.Report)
	case *wirepb.Frame_Register:
		return callHandler(ctx, handlers.Register, body.Register)
	case *wirepb.Frame_Demand:
		return callHandler(ctx, handlers.Demand, body.Demand)
	case *wirepb.Frame_Propose:
		return callHandler(ctx, handlers.Propose, body.Propose)
	case *wirepb.Frame_MemberQuery:
		if handlers.Members != nil {
			return handlers.Members(ctx)
		}
	case *wirepb.Frame_ForceQuery:
		return callHandler(ctx, handlers.ForceQuery, body.ForceQuery)
	case *wirepb.Frame_TableChange:
		return callHandler(ctx, handlers.TableChange, body.TableChange)
	case *wirepb.Frame_EndpointOrder:
		return callHandler(ctx, handlers.Order, body.EndpointOrder)
	case *wirepb.Frame_TurnRequest:
		return callHandler(ctx, handlers.Turn, body.TurnRequest)
	case *wirepb.Frame_TrialRequest:
		return callHandler(ctx, handlers.Trial, body.TrialRequest)
	case *wirepb.Frame_OriginQuery:
		return callHandler(ctx, handlers.Origin, body.OriginQuery)
	case *wirepb.Frame_QuotaRequest:
		return callHandler(ctx, handlers.Quota, body.QuotaRequest)
	case *wirepb.Frame_AdapterCall:
		return callHandler(ctx, handlers.Adapter, body.AdapterCall)
	case *wirepb.Frame_HolderReport:
		return callHandler(ctx, handlers.HolderReport, body.HolderReport)
	case *wirepb.Frame_Ping:
		return &wirepb.Frame{Body: &wirepb.Frame_Pong{Pong: &wirepb.Pong{}}}
	}
	return nil
}

func callHandler[T any](ctx context.Context, handler func(context.Context, T) *wirepb.Frame, message T) *wirepb.Frame {
	if handler == nil {
		return nil
	}
	return handler(ctx, message)
}
