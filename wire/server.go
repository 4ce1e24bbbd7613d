package wire

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"burdocksaddle/wirepb"
)

const (
	firstFrameTimeout = 5 * time.Second
	replyTimeout      = 5 * time.Second
	maxSessions       = 4096
	// maxStreams limits the open streams of a session, streamBytes is the memory that one takes up.
	maxStreams  = 2048
	streamBytes = 24 << 10
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

// ServeOption configures Serve.
type ServeOption func(*server)

// WithMemory sets the functions that count the bytes of streams and of the frames that arrive on them: take reports whether there is room.
func WithMemory(take func(bytes int) bool, giveBack func(bytes int)) ServeOption {
	return func(s *server) { s.take, s.giveBack = take, giveBack }
}

// server accepts sessions and calls the handlers.
type server struct {
	Handlers
	take     func(bytes int) bool
	giveBack func(bytes int)
}

// Serve accepts sessions until the context ends. The returned channel receives one value once all sessions have ended: the error that
// stopped it, or nil. Accepts that fail for a while, as without a free file descriptor, don't stop it.
func Serve(ctx context.Context, listener net.Listener, handlers Handlers, options ...ServeOption) <-chan error {
	s := &server{Handlers: handlers, take: func(int) bool { return true }, giveBack: func(int) {}}
	for _, option := range options {
		option(s)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.serve(ctx, listener) }()
	return ended
}

func (s *server) serve(ctx context.Context, listener net.Listener) error {
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
			s.serveSession(ctx, conn)
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

func (s *server) serveSession(ctx context.Context, conn net.Conn) {
	unread := &backlog{take: s.take, giveBack: s.giveBack}
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
	admit := sync.OnceFunc(func() {
		if counted, ok := conn.(interface{ Admit() }); ok {
			counted.Admit()
		}
	})
	for {
		accepted, err := session.AcceptStream()
		if err != nil {
			return
		}
		if session.NumStreams() > maxStreams || !s.take(streamBytes) {
			return // yamux would keep what arrives on a stream that is closed alone
		}
		streams.Go(func() {
			defer s.giveBack(streamBytes)
			streamCtx, done := context.WithCancel(streamsCtx)
			defer done()
			stream := newStream(streamCtx, accepted, conn.RemoteAddr().String())
			stream.take, stream.giveBack, stream.incoming.consumed = s.take, s.giveBack, unread.remove
			defer stream.releaseFrame()
			if IsErrNoMemory(s.serveStream(streamCtx, stream, admit)) {
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
func (s *server) serveStream(ctx context.Context, stream *Stream, admit func()) error {
	first, err := stream.Receive(firstFrameTimeout)
	if err != nil {
		return err
	}
	admit()
	handlers := s.Handlers
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
