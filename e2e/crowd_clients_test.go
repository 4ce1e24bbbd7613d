package e2e

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protowire"

	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

// What the routing tables of these tests allow clients.
const (
	legalHeadBytes = 16384
	legalBodyBytes = 4 << 20
)

const (
	// crowdPause is how long a client waits before it connects again.
	crowdPause = 200 * time.Millisecond
	// tricklePause is how long a slow client waits between two bytes.
	tricklePause = 100 * time.Millisecond
	// clientBufferBytes limits what the kernel holds for a client of a crowd, so that the rest is at the process.
	clientBufferBytes = 32 << 10
)

// crowdClient is one connection of a crowd.
type crowdClient struct {
	net.Conn
	n    int
	host string
	path string
}

// behaviour is what a client of a crowd does on one connection, until that is closed or the context ends, which closes it, too.
type behaviour func(ctx context.Context, c *crowdClient)

// runCrowd keeps the given number of clients connected to an address until the context ends. A client that is cut off connects again. The
// returned channel is closed once all are gone.
func runCrowd(ctx context.Context, clients int, address, host, path string, act behaviour) <-chan struct{} {
	gone := make(chan struct{})
	ended := make(chan struct{}, clients)
	for n := range clients {
		go func() {
			defer func() { ended <- struct{}{} }()
			for ctx.Err() == nil {
				visit(ctx, &crowdClient{n: n, host: host, path: path}, address, act)
				sleepContext(ctx, crowdPause)
			}
		}()
	}
	go func() {
		defer close(gone)
		for range clients {
			<-ended
		}
	}()
	return gone
}

func visit(ctx context.Context, c *crowdClient, address string, act behaviour) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	tcp := conn.(*net.TCPConn)
	_ = tcp.SetLinger(0) // leaves no connection behind
	_ = tcp.SetWriteBuffer(clientBufferBytes)
	c.Conn = conn
	act(ctx, c)
}

// awaitClose reads until the connection is closed.
func (c *crowdClient) awaitClose() { _, _ = io.Copy(io.Discard, c.Conn) }

// head returns the start of a request's head, without the empty line at its end.
func (c *crowdClient) head(method string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nBurdocksaddle-Attempt-Id: crowd-%d\r\nBurdocksaddle-Deadline-Ms: 60000\r\n", method, c.path, c.host, c.n)
}

var bodyBytes = bytes.Repeat([]byte{' '}, legalBodyBytes)

// manyRoutes returns a configuration of many routes, none of which is valid.
func manyRoutes() []byte {
	const routes = 60_000
	return []byte(`{"Version":1,"Routes":[{}` + strings.Repeat(`,{"Name":"r"}`, routes) + `]}`)
}

// sendAlmostAll sends a body of the given size but for its last byte.
func sendAlmostAll(size int) behaviour {
	return func(_ context.Context, c *crowdClient) {
		if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", c.head(http.MethodPost), size); err != nil {
			return
		}
		go func() { _, _ = c.Write(bodyBytes[:size-1]) }()
		c.awaitClose()
	}
}

// sendWhole sends whole requests with a body, one after the other, and reads the responses.
func sendWhole(body []byte) behaviour {
	return func(ctx context.Context, c *crowdClient) {
		reader := bufio.NewReader(c)
		for ctx.Err() == nil {
			if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", c.head(http.MethodPost), len(body)); err != nil {
				return
			}
			if _, err := c.Write(body); err != nil {
				return
			}
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil || response.Close {
				return
			}
		}
	}
}

// sendChunks sends a body of the given size in chunks of one byte, without its end.
func sendChunks(size int) behaviour {
	chunks := bytes.Repeat([]byte("1\r\nx\r\n"), size)
	return func(_ context.Context, c *crowdClient) {
		if _, err := fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n", c.head(http.MethodPost)); err != nil {
			return
		}
		go func() { _, _ = c.Write(chunks) }()
		c.awaitClose()
	}
}

// sendWithoutEnd sends chunks until the connection is closed, up to a size far beyond any limit.
func sendWithoutEnd(ctx context.Context, c *crowdClient) {
	const chunkBytes, chunks = 64 << 10, 1024
	if _, err := fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n", c.head(http.MethodPost)); err != nil {
		return
	}
	chunk := append(append(fmt.Appendf(nil, "%x\r\n", chunkBytes), bodyBytes[:chunkBytes]...), "\r\n"...)
	go func() {
		for range chunks {
			if _, err := c.Write(chunk); err != nil || ctx.Err() != nil {
				return
			}
		}
	}()
	c.awaitClose()
}

// declareTooMuch declares a body far over the limit and sends it until the connection is closed.
func declareTooMuch(ctx context.Context, c *crowdClient) {
	const declared = 1 << 30
	if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", c.head(http.MethodPost), declared); err != nil {
		return
	}
	go func() {
		for range 16 {
			if _, err := c.Write(bodyBytes); err != nil || ctx.Err() != nil {
				return
			}
		}
	}()
	c.awaitClose()
}

// trickleBody sends a body byte by byte, with pauses.
func trickleBody(ctx context.Context, c *crowdClient) {
	if _, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", c.head(http.MethodPost), legalBodyBytes); err != nil {
		return
	}
	c.trickle(ctx, bodyBytes)
}

// trickleHead sends a head byte by byte, with pauses.
func trickleHead(ctx context.Context, c *crowdClient) {
	c.trickle(ctx, []byte(c.head(http.MethodPost)))
}

func (c *crowdClient) trickle(ctx context.Context, data []byte) {
	for n := range data {
		if _, err := c.Write(data[n : n+1]); err != nil || !sleepContext(ctx, tricklePause) {
			return
		}
	}
	c.awaitClose()
}

// shortFields returns short header fields of different names, in at most the given number of bytes.
func shortFields(size int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var fields strings.Builder
	for n := 0; fields.Len()+len("aaaa:\r\n") <= size; n++ {
		name := []byte{letters[n%26], letters[n/26%26], letters[n/676%26]}
		if n >= 26*26*26 {
			name = append(name, letters[n/17576%26])
		}
		fields.Write(name)
		fields.WriteString(":\r\n")
	}
	return fields.String()
}

// manyFields sends a head of the given size, nearly all of it very short fields, and a body but for its last byte.
func manyFields(size int) behaviour {
	const end = "Content-Length: 10\r\n\r\n"
	fields := shortFields(size - 256)
	return func(_ context.Context, c *crowdClient) {
		head := c.head(http.MethodPost)
		if _, err := io.WriteString(c, head+fields[:min(len(fields), (size-len(head)-len(end))/len("aaa:\r\n")*len("aaa:\r\n"))]+end+"123456789"); err != nil {
			return
		}
		c.awaitClose()
	}
}

// headWithoutEnd sends short fields until the connection is closed.
func headWithoutEnd(_ context.Context, c *crowdClient) {
	const size = 8 << 20
	fields := endlessFields()
	if _, err := io.WriteString(c, c.head(http.MethodGet)); err != nil {
		return
	}
	go func() {
		for sent := 0; sent < size; sent += len(fields) {
			if _, err := io.WriteString(c, fields); err != nil {
				return
			}
		}
	}()
	c.awaitClose()
}

var endlessFields = func() func() string {
	fields := shortFields(128 << 10)
	return func() string { return fields }
}()

// halfHead sends a part of a head of nearly the legal size, most of it short fields, and stops.
func halfHead(_ context.Context, c *crowdClient) {
	if _, err := io.WriteString(c, c.head(http.MethodPost)+shortHalf); err != nil {
		return
	}
	c.awaitClose()
}

var shortHalf = shortFields(legalHeadBytes / 2)

// stayIdle opens a connection and sends nothing.
func stayIdle(_ context.Context, c *crowdClient) { c.awaitClose() }

// stayAfterAnswer sends a request, reads the response and leaves the connection open.
func stayAfterAnswer(_ context.Context, c *crowdClient) {
	if _, err := io.WriteString(c, c.head(http.MethodGet)+"\r\n"); err != nil {
		return
	}
	c.awaitClose()
}

// sendAhead sends requests one after the other and reads no response.
func sendAhead(method string) behaviour {
	const requests = 1 << 16
	return func(ctx context.Context, c *crowdClient) {
		_ = c.Conn.(*net.TCPConn).SetReadBuffer(clientBufferBytes)
		batch := []byte(strings.Repeat(c.head(method)+"\r\n", 16))
		for sent := 0; sent < requests; sent += 16 {
			if _, err := c.Write(batch); err != nil {
				return
			}
		}
		<-ctx.Done()
	}
}

// readNothing sends a request and reads nothing of its response.
func readNothing(method, header string) behaviour {
	return func(ctx context.Context, c *crowdClient) {
		_ = c.Conn.(*net.TCPConn).SetReadBuffer(clientBufferBytes)
		if _, err := io.WriteString(c, c.head(method)+header+"\r\n"); err != nil {
			return
		}
		<-ctx.Done()
	}
}

// sendFrames opens a session as other processes do and sends the beginnings of large frames on several of its streams.
func sendFrames(ctx context.Context, c *crowdClient) {
	const streams, frameBytes = 8, 64 << 20
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	session, err := yamux.Client(c.Conn, config)
	if err != nil {
		return
	}
	defer func() { _ = session.Close() }()
	for range streams {
		stream, err := session.OpenStream()
		if err != nil {
			return
		}
		go func() {
			_, err := stream.Write(protowire.AppendVarint(nil, frameBytes))
			for sent := 0; err == nil && sent < frameBytes-1; sent += legalBodyBytes {
				_, err = stream.Write(bodyBytes[:min(legalBodyBytes, frameBytes-1-sent)])
			}
		}()
	}
	select {
	case <-session.CloseChan():
	case <-ctx.Done():
	}
}

// openStreams opens a session as other processes do and as many streams as it can, on which it sends nothing.
func openStreams(ctx context.Context, c *crowdClient) {
	const streams = 4096
	config := yamux.DefaultConfig()
	config.LogOutput, config.AcceptBacklog, config.StreamOpenTimeout = io.Discard, streams, 0
	session, err := yamux.Client(c.Conn, config)
	if err != nil {
		return
	}
	defer func() { _ = session.Close() }()
	for range streams {
		if _, err := session.OpenStream(); err != nil {
			break
		}
	}
	select {
	case <-session.CloseChan():
	case <-ctx.Done():
	}
}

// exchange sends a request and returns the status of the response once that is complete.
func exchange(conn net.Conn, request string) (int, error) {
	if err := conn.SetDeadline(time.Now().Add(answerPatience)); err != nil {
		return 0, err
	}
	written := make(chan error, 1)
	go func() {
		_, err := io.WriteString(conn, request)
		written <- err
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	return response.StatusCode, <-written
}

// pingAddress makes an internal call that needs no state.
func pingAddress(ctx context.Context, address string) error {
	pool := wire.NewPool()
	defer pool.Close()
	_, err := pool.Call(ctx, address, &wirepb.Frame{Body: &wirepb.Frame_Ping{Ping: &wirepb.Ping{}}}, answerPatience)
	return err
}
