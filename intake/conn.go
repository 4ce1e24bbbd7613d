package intake

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"burdocksaddle/buffering"
)

const (
	// freeHeadBytes of memory for a head are part of what each connection counts as, headStepBytes are counted at a time for a longer one.
	freeHeadBytes = 8 << 10
	headStepBytes = 16 << 10
	// readAheadBytes is how much net/http may have read of the next request.
	readAheadBytes = 4 << 10
	// headSlackBytes is how much longer than the limit a head may be, since the limit does not define what counts.
	headSlackBytes = 4 << 10
	// maxWriteBytes limits a single write.
	maxWriteBytes = 64 << 10
	// blockedAfter is how long a write takes until it counts as blocked.
	blockedAfter = 500 * time.Millisecond
)

// Conn is a connection that an Account counts.
type Conn struct {
	net.Conn
	account  *Account
	listener *listener
	// writing is when the write in progress began, in Unix nanoseconds, 0 if there is none.
	writing atomic.Int64

	mu    sync.Mutex
	phase buffering.Phase
	// since is when the phase began, moved how many bytes were received in it.
	since time.Time
	moved int
	// closed is set once the connection is closed, released once nothing is counted for it any more.
	closed, released bool
	head             head
	// taken is the memory that is counted for heads.
	taken int
	// aheadLines is the number of lines in what net/http may have read of the next request.
	aheadLines int
	// reserved is the memory that is counted for the request in progress, or for a session without a call. expected is what the account expects to be
	// released.
	reserved, expected int
}

// head counts the lines of a request's head as it arrives.
type head struct {
	reading      bool
	bytes, lines int
	// text is set if the current line isn't empty.
	text bool
}

// add counts received bytes up to the end of the head.
func (h *head) add(p []byte) {
	for h.reading && len(p) > 0 {
		line, rest, ended := bytes.Cut(p, []byte{'\n'})
		h.text = h.text || len(bytes.TrimRight(line, "\r")) > 0
		h.bytes += len(p) - len(rest)
		p = rest
		if !ended {
			return
		}
		h.reading = h.text || h.lines == 0
		h.lines, h.text = h.lines+1, false
	}
}

// Read implements net.Conn. It answers a request whose head is too long, or for which there is no memory, and fails then.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	if refused := c.received(p[:n]); refused != nil {
		c.refuse()
		c.answer(*refused)
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: ErrRefused{Status: refused.status}}
	}
	return n, err
}

// received counts bytes, and returns a refusal if they can't be kept.
func (c *Conn) received(p []byte) *refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == buffering.Idle {
		c.phase, c.since, c.moved = buffering.Sending, time.Now(), 0
		c.head = head{reading: true}
	}
	c.moved += len(p)
	if c.listener.peers {
		return nil
	}
	c.aheadLines = 0
	if len(p) <= readAheadBytes {
		c.aheadLines = bytes.Count(p, []byte{'\n'})
	}
	if !c.head.reading {
		return nil
	}
	c.head.add(p)
	if limit := c.listener.headLimit(); limit > 0 && c.head.bytes > limit+headSlackBytes {
		return &refuseLongHead
	}
	for buffering.HeadBytes(c.head.bytes, c.head.lines) > freeHeadBytes+c.taken {
		if c.closed || !c.account.Take(headStepBytes) {
			return &refuseWithoutMemory
		}
		c.taken += headStepBytes
	}
	return nil
}

// Write implements net.Conn. It writes in parts, so that a write that makes progress does not count as blocked.
func (c *Conn) Write(p []byte) (written int, err error) {
	defer c.writing.Store(0)
	for {
		c.writing.Store(time.Now().UnixNano())
		n, err := c.Conn.Write(p[:min(len(p), maxWriteBytes)])
		written += n
		if p = p[n:]; err != nil || len(p) == 0 {
			return written, err
		}
	}
}

// CloseWrite closes the writing side, as net/http does after a response that ends before its request.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if kernel, ok := c.Conn.(syscall.Conn); ok {
		return kernel.SyscallConn()
	}
	return nil, net.ErrClosed
}

// Admit records that the peer of an internal session has made a call. Its session is not closed to make room.
func (c *Conn) Admit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = buffering.Peer
	c.endRequestLocked()
}

// Take counts bytes that an internal session takes up until they are returned, and reports whether there is room for them.
func (c *Conn) Take(bytes int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.account.Take(bytes) {
		return false
	}
	c.taken += bytes
	return true
}

// Return ends the use of bytes that Take counted.
func (c *Conn) Return(bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taken -= bytes
	c.account.Return(bytes)
	c.releaseExpectedLocked()
}

// begin counts the memory of a request whose head has been read, and reports whether there is room for it.
func (c *Conn) begin(hasBody bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	if !c.account.Take(buffering.RequestBytes) {
		return false
	}
	c.reserved = buffering.RequestBytes
	if c.phase == buffering.Idle { // it was read together with the request before
		c.since, c.moved = time.Now(), 0
	}
	c.phase, c.head.reading = buffering.Waiting, false
	if hasBody {
		c.phase = buffering.Sending
	}
	return true
}

// refuse records that the client only has to read a refusal.
func (c *Conn) refuse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = buffering.Refused, time.Now()
}

// wait records that the body has been read, and reports whether the request may be handled: the connection may have been closed to make room.
func (c *Conn) wait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == buffering.Sending {
		c.phase, c.since = buffering.Waiting, time.Now()
	}
	return !c.closed
}

// idle records that a response is complete.
func (c *Conn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.released {
		return
	}
	c.phase, c.since, c.head = buffering.Idle, time.Now(), head{}
	keep := 0
	if ahead := buffering.HeadBytes(readAheadBytes, c.aheadLines); ahead > 2*freeHeadBytes {
		keep = ahead // it is there anyway
	}
	c.account.Return(c.taken - keep)
	c.taken = keep
	c.endRequestLocked()
}

func (c *Conn) endRequestLocked() {
	c.account.Return(c.reserved)
	c.reserved = 0
}

// holding returns what the connection holds, and false if it is closed.
func (c *Conn) holding(now time.Time) (buffering.Holding, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holdingLocked(now), !c.closed
}

func (c *Conn) holdingLocked(now time.Time) buffering.Holding {
	h := buffering.Holding{Phase: c.phase, For: now.Sub(c.since), Moved: c.moved, Bytes: buffering.ConnBytes + c.taken + c.reserved}
	if c.phase == buffering.Sending && !c.head.reading {
		h.Bytes += c.moved // its body
	}
	if began := c.writing.Load(); began > 0 && c.phase != buffering.Peer {
		if blocked := now.Sub(time.Unix(0, began)); blocked > blockedAfter {
			h.Phase, h.For = buffering.Unread, blocked
		}
	}
	return h
}

// cut closes the connection, unless its client waits for a response by now, and reports whether it did. What it holds is released once its
// goroutine ends.
func (c *Conn) cut(reason string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.holdingLocked(time.Now())
	if c.closed || !h.MayClose() {
		return false
	}
	c.closed, c.expected = true, h.Bytes
	if tcp, ok := c.Conn.(*net.TCPConn); ok && h.Phase != buffering.Idle {
		_ = tcp.SetLinger(0) // releases what the kernel holds
	}
	_ = c.Conn.Close()
	c.account.forget(c, h.Bytes)
	c.account.count(metricClosed, reason)
	return true
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.released {
		return err
	}
	c.released = true
	c.endRequestLocked()
	c.account.forget(c, 0)
	if c.listener.peers { // the streams of its session return what they have taken
		c.account.Return(buffering.ConnBytes)
		c.releaseExpectedLocked()
		return err
	}
	c.account.release(buffering.ConnBytes+c.taken, c.expected)
	c.taken = 0
	return err
}

// releaseExpectedLocked ends the account's expectation once the streams of a closed session have returned everything.
func (c *Conn) releaseExpectedLocked() {
	if c.released && c.taken == 0 {
		c.account.release(0, c.expected)
		c.expected = 0
	}
}

// answer writes a response to a request whose head is not read to its end. What still arrives of it for a while is discarded: if the connection
// were closed at once, the client might lose the response.
func (c *Conn) answer(r refusal) {
	c.account.count(metricRefused, r.reason)
	now := time.Now()
	if c.SetDeadline(now.Add(refuseTimeout)) != nil {
		return
	}
	if _, err := io.WriteString(c.Conn, r.response()); err != nil || c.CloseWrite() != nil {
		return
	}
	_, _ = io.CopyN(io.Discard, c.Conn, maxDiscardedBytes) // a client that sends no more has its response
}
