package graceful

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const testTimeout = 10 * time.Second

// startServer serves requests with a handler until the test ends.
func startServer(t *testing.T, handler http.HandlerFunc) (server *Server, address string) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server = New(&http.Server{Handler: handler, ReadHeaderTimeout: testTimeout})
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	})
	return server, listener.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return c
}

const request = "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"

// get sends a request and reads the response, and reports whether that was complete.
func get(c net.Conn) bool {
	if _, err := io.WriteString(c, request); err != nil {
		return false
	}
	return readResponse(c)
}

func readResponse(c net.Conn) bool {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// waitForConns waits until the server has accepted connections.
func (s *Server) waitForConns(t *testing.T, count int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		open := len(s.conns)
		s.mu.Unlock()
		if open == count {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d connections, want %d", open, count)
		}
	}
}

// TestRequestThatHasArrivedIsAnswered has requests arrive, whole or in part, right before the server closes idle connections.
func TestRequestThatHasArrivedIsAnswered(t *testing.T) {
	const conns = 200
	var stopping atomic.Bool
	server, address := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		if stopping.Load() {
			w.Header().Set("Connection", "close")
		}
	})
	clients := make([]net.Conn, conns)
	for n := range clients {
		clients[n] = dial(t, address)
		if n%2 == 0 && !get(clients[n]) {
			t.Fatal("no response before the stop")
		}
	}
	server.waitForConns(t, conns)
	stopping.Store(true)
	for n, c := range clients {
		sent := len(request)
		if n%4 < 2 {
			sent = 1 + n%(len(request)-1)
		}
		if _, err := io.WriteString(c, request[:sent]); err != nil {
			t.Fatal(err)
		}
		defer func() {
			if _, err := io.WriteString(c, request[sent:]); err != nil || !readResponse(c) {
				t.Errorf("connection %d: no response to a request of which %d bytes had arrived", n, sent)
			}
		}()
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	server.CloseIdle(ctx, 0)
}

// TestCloseIdle checks which connections close and when.
func TestCloseIdle(t *testing.T) {
	release := make(chan struct{})
	server, address := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/" {
			return
		}
		<-release
		w.Header().Set("Connection", "close")
	})
	const idle = 150 * time.Millisecond
	unused, used, busy := dial(t, address), dial(t, address), dial(t, address)
	if !get(used) {
		t.Fatal("no response")
	}
	if _, err := io.WriteString(busy, "GET /wait HTTP/1.1\r\nHost: a.example\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	server.waitForConns(t, 3)
	began := time.Now()
	ended := make(chan struct{})
	go func() { defer close(ended); server.CloseIdle(t.Context(), idle) }()
	for _, c := range []net.Conn{unused, used} {
		if n, err := c.Read(make([]byte, 1)); n != 0 || err != io.EOF { //nolint:errorlint // a clean end is io.EOF itself
			t.Errorf("an idle connection ended with %v", err)
		}
	}
	if took := time.Since(began); took < idle-50*time.Millisecond {
		t.Errorf("idle connections were closed after %v", took)
	}
	select {
	case <-ended:
		t.Error("the server did not wait for a request in progress")
	default:
	}
	close(release)
	if !readResponse(busy) {
		t.Error("the request in progress got no response")
	}
	<-ended
	if n := server.Unanswered(); n != 0 {
		t.Errorf("%d unanswered", n)
	}
}

// TestClientsThatKeepSending has clients use their connections all the while: no request that reaches the handler may lose its response.
func TestClientsThatKeepSending(t *testing.T) {
	const conns = 50
	var handled, answered atomic.Int64
	server, address := startServer(t, func(http.ResponseWriter, *http.Request) { handled.Add(1) })
	var clients sync.WaitGroup
	for range conns {
		c := dial(t, address)
		clients.Go(func() {
			for get(c) {
				answered.Add(1)
				time.Sleep(time.Duration(rand.Int64N(int64(4 * time.Millisecond))))
			}
		})
	}
	server.waitForConns(t, conns)
	server.CloseIdle(t.Context(), 0)
	clients.Wait()
	if handled.Load() != answered.Load() || server.Unanswered() != 0 {
		t.Errorf("%d requests handled, %d answered, %d unanswered", handled.Load(), answered.Load(), server.Unanswered())
	}
}

// TestShutdown checks what becomes of requests in progress, of arriving ones and of those that end too late.
func TestShutdown(t *testing.T) {
	release := make(chan struct{})
	server, address := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
	})
	busy, late, stuck := dial(t, address), dial(t, address), dial(t, address)
	if _, err := io.WriteString(busy, "GET /wait HTTP/1.1\r\nHost: a.example\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	for _, c := range []net.Conn{late, stuck} {
		if _, err := io.WriteString(c, request[:5]); err != nil {
			t.Fatal(err)
		}
	}
	server.waitForConns(t, 3)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	ended := make(chan struct{})
	go func() { defer close(ended); server.Shutdown(ctx) }()
	time.Sleep(200 * time.Millisecond)
	if _, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address); err == nil {
		t.Error("the server accepts connections")
	}
	if _, err := io.WriteString(late, request[5:]); err != nil {
		t.Error(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(late), nil)
	if err != nil {
		t.Fatal(err)
	}
	if !response.Close || response.Body.Close() != nil {
		t.Error("the client is not told that the connection closes")
	}
	close(release)
	if !readResponse(busy) {
		t.Error("the request in progress got no response")
	}
	<-ended
	if ctx.Err() == nil {
		t.Error("the server did not wait for a request that had begun to arrive")
	}
	if n, err := stuck.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Error("a connection is left open")
	}
}

// TestRequestThatWasReadWithTheOneBeforeIsAnswered has the first part of a request arrive together with the request before it.
func TestRequestThatWasReadWithTheOneBeforeIsAnswered(t *testing.T) {
	server, address := startServer(t, func(http.ResponseWriter, *http.Request) {})
	for sent := range len(request) {
		c := dial(t, address)
		server.waitForConns(t, sent+1)
		if _, err := io.WriteString(c, request+request[:sent]); err != nil {
			t.Fatal(err)
		}
		defer func() {
			if sent < 4 {
				return // net/http has not noticed that a request has begun
			}
			_, err := io.WriteString(c, request[sent:])
			responses := bufio.NewReader(c)
			for n := range 2 {
				response, readErr := http.ReadResponse(responses, nil)
				if readErr != nil || response.StatusCode != http.StatusOK || response.Body.Close() != nil {
					t.Errorf("response %d where %d bytes had arrived: %+v, %v, %v", n, sent, response, readErr, err)
					return
				}
			}
		}()
	}
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	server.CloseIdle(ctx, 0)
}

// slowListener is a listener whose Accept returns only once it is released.
type slowListener struct {
	net.Listener
	release chan struct{}
}

func (l slowListener) Accept() (net.Conn, error) {
	<-l.release
	return l.Listener.Accept()
}

// TestCloseOfStoppedServerIsNoError guards against a process that ends with an error because its server closed before it had noticed the end of its
// listener.
func TestCloseOfStoppedServerIsNoError(t *testing.T) {
	accepting, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server, release, ended := New(&http.Server{ReadHeaderTimeout: testTimeout}), make(chan struct{}), make(chan error, 1)
	go func() { ended <- server.Serve(slowListener{accepting, release}) }()
	time.Sleep(50 * time.Millisecond)
	server.StopAccepting()
	time.AfterFunc(50*time.Millisecond, func() { close(release) })
	if err := server.Close(); err != nil {
		t.Error(err)
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		t.Error(err)
	}
}
