package intake

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"burdocksaddle/buffering"
)

// Metrics of an account.
const (
	metricHeldBytes  = "burdocksaddle_intake_held_bytes"
	metricLimitBytes = "burdocksaddle_intake_limit_bytes"
	metricConns      = "burdocksaddle_intake_connections"
	metricRequests   = "burdocksaddle_intake_requests"
	metricClosed     = "burdocksaddle_intake_closed_connections_total"
	metricRefused    = "burdocksaddle_intake_refused_requests_total"
)

const (
	// socketBufferBytes limits what the kernel holds for a connection in each direction; it doubles it for its own use.
	socketBufferBytes = 32 << 10
	// sweepInterval is how often the connections are looked through for those that have expired.
	sweepInterval = time.Second
	// roomInterval is the least time between two searches for connections to close.
	roomInterval = 10 * time.Millisecond
	// maxUnread is how long a write to a client may be blocked, and how long a client may take to read a refusal; maxSending is how long it may take to
	// send a request.
	maxUnread  = 6 * time.Second
	maxSending = 65 * time.Second
)

// Account counts what a process holds for its clients.
type Account struct {
	metrics *metrics.Set
	// pressed wakes Run when room has to be made.
	pressed chan struct{}

	mu     sync.Mutex
	counts *buffering.Account
	conns  map[*Conn]struct{}
}

// Option configures an Account.
type Option func(*Account)

// WithMetrics sets the set that the account's metrics are registered in.
func WithMetrics(set *metrics.Set) Option { return func(a *Account) { a.metrics = set } }

// New returns an empty Account.
func New(limits buffering.Limits, options ...Option) *Account {
	a := &Account{counts: buffering.NewAccount(limits), conns: map[*Conn]struct{}{}, pressed: make(chan struct{}, 1), metrics: metrics.NewSet()}
	for _, option := range options {
		option(a)
	}
	a.metrics.NewGauge(metricHeldBytes, func() float64 { return a.read(a.counts.HeldBytes) })
	a.metrics.NewGauge(metricLimitBytes, func() float64 { return float64(limits.Bytes) })
	a.metrics.NewGauge(metricConns, func() float64 { return a.read(a.counts.Conns) })
	a.metrics.NewGauge(metricRequests, func() float64 { return a.read(a.counts.Requests) })
	return a
}

func (a *Account) read(value func() int) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return float64(value())
}

// Limits returns the limits of the account.
func (a *Account) Limits() buffering.Limits { return a.counts.Limits() }

// Update changes the counts of bodies and events, and makes room if that is needed afterwards.
func (a *Account) Update(change func(*buffering.Account)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(a.counts)
	a.pressLocked()
}

// press has Run look for connections to close.
func (a *Account) press() {
	select {
	case a.pressed <- struct{}{}:
	default:
	}
}

func (a *Account) pressLocked() {
	if a.counts.Pressed() {
		a.press()
	}
}

// Take counts bytes and reports whether there is room for them.
func (a *Account) Take(bytes int) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.counts.Take(bytes) {
		a.press()
		return false
	}
	a.pressLocked()
	return true
}

// Return ends the use of bytes that were counted by Take.
func (a *Account) Return(bytes int) {
	if bytes == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.Return(bytes)
}

// Run closes connections that have expired, or whose memory is needed, until the context ends. The returned channel is closed then.
func (a *Account) Run(ctx context.Context) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(sweepInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				a.closeExpired(time.Now())
				a.press() // clients may have become late
			case <-a.pressed:
				a.makeRoom(time.Now())
				wait(ctx, roomInterval)
			}
		}
	}()
	return ended
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// closeExpired closes the connections whose clients have not read or sent for too long.
func (a *Account) closeExpired(now time.Time) {
	for c, h := range a.holdings(now) {
		most := map[buffering.Phase]time.Duration{buffering.Unread: maxUnread, buffering.Refused: maxUnread, buffering.Sending: maxSending}[h.Phase]
		if most > 0 && h.For > most {
			c.cut("Expired")
		}
	}
}

// makeRoom closes connections until ordinary requests find memory.
func (a *Account) makeRoom(now time.Time) {
	a.mu.Lock()
	fromAny, fromLate := a.counts.Excess()
	a.mu.Unlock()
	if fromAny == 0 && fromLate == 0 {
		return
	}
	var conns []*Conn
	var all []buffering.Holding
	for c, h := range a.holdings(now) {
		conns, all = append(conns, c), append(all, h)
	}
	for _, i := range append(buffering.FirstForMemory(all, fromAny, false), buffering.FirstForMemory(all, fromLate, true)...) {
		conns[i].cut("Memory")
	}
}

// holdings returns what each open connection holds.
func (a *Account) holdings(now time.Time) map[*Conn]buffering.Holding {
	a.mu.Lock()
	conns := slices.Collect(maps.Keys(a.conns))
	a.mu.Unlock()
	all := make(map[*Conn]buffering.Holding, len(conns))
	for _, c := range conns {
		if h, open := c.holding(now); open {
			all[c] = h
		}
	}
	return all
}

// Enter counts a request that is passed on, and reports whether there may be another one.
func (a *Account) Enter() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.counts.Enter()
}

// Leave ends a request that Enter counted.
func (a *Account) Leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.Leave()
}

// forget removes a connection that is closed, of which the given number of bytes is still to be released.
func (a *Account) forget(c *Conn, expected int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, open := a.conns[c]; open {
		delete(a.conns, c)
		c.listener.open--
		a.counts.Disconnect()
		a.counts.Expect(expected)
	}
}

// release ends the use of bytes by a connection, of which some were expected to be released.
func (a *Account) release(bytes, expected int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts.Return(bytes)
	a.counts.Expect(-expected)
}

// ListenOption configures a listener.
type ListenOption func(*listener)

// WithHeadLimit sets the function that returns how many bytes the head of a request may have, 0 for no limit besides that of the server.
func WithHeadLimit(limit func() int) ListenOption { return func(l *listener) { l.headLimit = limit } }

// WithPeers makes a listener one for internal sessions. By default its clients speak HTTP.
func WithPeers() ListenOption { return func(l *listener) { l.peers = true } }

// Listen opens a listener of which at most the given number of connections are open at a time.
func (a *Account) Listen(ctx context.Context, address string, conns int, options ...ListenOption) (net.Listener, error) {
	config := net.ListenConfig{Control: LimitBuffers}
	opened, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return a.Wrap(opened, conns, options...), nil
}

// LimitBuffers is the Control function of a net.ListenConfig that limits what the kernel holds for the listener's connections.
func LimitBuffers(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Connections inherit the sizes. Where they can't be set, the kernel's own apply.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBufferBytes)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBufferBytes)
	})
}

// Wrap is like Listen for a listener that is open already; LimitBuffers should have been applied to it.
func (a *Account) Wrap(opened net.Listener, conns int, options ...ListenOption) net.Listener {
	l := &listener{Listener: opened, account: a, most: conns, headLimit: func() int { return 0 }}
	for _, option := range options {
		option(l)
	}
	return l
}

// listener counts its connections.
type listener struct {
	net.Listener
	account *Account
	most    int
	// peers is set for internal sessions.
	peers     bool
	headLimit func() int
	// open is guarded by the account's mutex.
	open int
}

// Accept implements net.Listener. Without room for another connection it closes one of its own, or else the new one.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.makeRoom(time.Now()) {
			l.account.count(metricClosed, "New")
			_ = accepted.Close()
			continue
		}
		return l.add(accepted), nil
	}
}

func (l *listener) add(accepted net.Conn) *Conn {
	c := &Conn{Conn: accepted, listener: l, account: l.account, since: time.Now()}
	l.account.mu.Lock()
	defer l.account.mu.Unlock()
	l.open++
	l.account.conns[c] = struct{}{}
	l.account.counts.Connect()
	if l.peers { // what arrives may wait in the kernel at any time
		c.phase, c.reserved = buffering.Sending, buffering.SessionBytes
		l.account.counts.Return(-buffering.SessionBytes)
	}
	l.account.pressLocked()
	return c
}

// makeRoom closes a connection if the listener has too many, and reports whether there is room for another one.
func (l *listener) makeRoom(now time.Time) bool {
	l.account.mu.Lock()
	full := l.open >= l.most
	l.account.mu.Unlock()
	if !full {
		return true
	}
	var conns []*Conn
	var all []buffering.Holding
	for c, h := range l.account.holdings(now) {
		if c.listener == l {
			conns, all = append(conns, c), append(all, h)
		}
	}
	first := buffering.FirstForDescriptor(all)
	return first >= 0 && conns[first].cut("Connections")
}

func (a *Account) count(name, reason string) {
	a.metrics.GetOrCreateCounter(name + `{reason="` + reason + `"}`).Inc()
}
