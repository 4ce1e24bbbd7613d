package gateway

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"burdocksaddle/logging"
)

const (
	// moveOverlap is how long the endpoint of a silent stream is kept after the next one has been sent the stream. An endpoint without room
	// refuses within milliseconds, one that is out of reach shows within the sender's dial timeout of 300 ms.
	moveOverlap = 350 * time.Millisecond
	// moveInterval is the time between two attempts to move a stream.
	moveInterval = 200 * time.Millisecond
)

// mover moves a stream that has begun to another endpoint if its own one falls silent. The silent one may go on after a while, so it is given up
// only once another endpoint has taken the stream, or has not refused it for moveOverlap.
type mover struct {
	t *transaction
	// ctx ends all attempts to move the stream.
	ctx  context.Context
	from choice
	// giveUp ends the attempt at the silent endpoint.
	giveUp context.CancelFunc

	// mu is locked before the gateway's mutex.
	mu    sync.Mutex
	timer *time.Timer
	// due is when the next move begins, the zero time for never; the timer may fire although an event has just arrived.
	due       time.Time
	lastEvent string
	// current is the move under way, or the one that has succeeded.
	current *streamMove
	// moves are all moves, for close to wait for.
	moves []*streamMove
	// refused are endpoints that did not take the stream.
	refused []string
	// sends and executions count the moves that the transaction has not counted yet.
	sends, executions int
	closed            bool
}

// streamMove is one attempt to move a stream. Its response and committed are guarded by the mover's mutex.
type streamMove struct {
	cancel context.CancelFunc
	to     choice
	// send is the number of this attempt of the transaction.
	send   int
	sentAt time.Time
	// response is set once the endpoint has taken the stream.
	response *Response
	// committed is set once the silent endpoint's attempt has ended.
	committed bool
	// ended is closed at the end.
	ended chan struct{}
}

// newMover returns a mover that does nothing until expect is called. The caller must close it.
func (t *transaction) newMover(ctx context.Context, from choice, giveUp context.CancelFunc) *mover {
	return &mover{t: t, ctx: ctx, from: from, giveUp: giveUp, lastEvent: t.lastEvent}
}

// expect moves the stream unless the endpoint's next event arrives within the time.
func (m *mover) expect(within time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.scheduleLocked(within)
}

func (m *mover) scheduleLocked(within time.Duration) {
	m.due = time.Now().Add(within)
	if m.timer == nil {
		m.timer = time.AfterFunc(within, m.move)
		return
	}
	m.timer.Reset(within)
}

// advance records an event of the endpoint, which ends a move under way. It returns false if the endpoint has been given up: another one has been
// asked to go on before this event.
func (m *mover) advance(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unscheduleLocked()
	m.countLocked()
	if m.current != nil {
		if m.current.committed {
			return false
		}
		m.current.cancel()
		m.current = nil
	}
	m.lastEvent = id
	return true
}

// next returns the move that has succeeded after the attempt at the endpoint has failed, or nil. It waits for a move under way.
func (m *mover) next() *streamMove {
	m.mu.Lock()
	m.unscheduleLocked()
	move := m.current
	if move != nil {
		move.committed = true
	}
	m.mu.Unlock()
	if move != nil {
		<-move.ended
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countLocked()
	if move == nil || move.response == nil {
		return nil
	}
	m.current = nil // the caller uses the response
	return move
}

// close ends the moves and waits for them.
func (m *mover) close() {
	m.mu.Lock()
	m.closed = true
	m.unscheduleLocked()
	if m.current != nil {
		m.current.cancel()
	}
	moves := m.moves
	m.mu.Unlock()
	for _, move := range moves {
		<-move.ended
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.countLocked()
	if m.current != nil && m.current.response != nil {
		m.current.response.Close()
		m.release(m.current, nil)
	}
}

func (m *mover) unscheduleLocked() {
	m.due = time.Time{}
	if m.timer != nil {
		m.timer.Stop()
	}
}

// countLocked adds the moves to the transaction's attempts.
func (m *mover) countLocked() {
	m.t.sends += m.sends
	m.t.executions += m.executions
	m.sends, m.executions = 0, 0
}

// move sends the stream to another endpoint.
func (m *mover) move() {
	ctx, cancel := context.WithCancel(m.ctx)
	move, lastEvent := m.begin(cancel)
	if move == nil {
		cancel()
		return
	}
	defer close(move.ended)
	response, err := m.send(ctx, move, lastEvent)
	m.finish(move, response, err)
}

// begin begins a move that cancel ends, or returns nil if there is no endpoint to move to now.
func (m *mover) begin(cancel context.CancelFunc) (move *streamMove, lastEvent string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.due.IsZero() || time.Now().Before(m.due) || m.current != nil || m.ctx.Err() != nil {
		return nil, ""
	}
	to, ok := m.reserveLocked()
	if !ok {
		m.scheduleLocked(retryInterval)
		return nil, ""
	}
	m.sends++
	move = &streamMove{cancel: cancel, to: to, send: m.t.sends + m.sends, sentAt: time.Now(), ended: make(chan struct{})}
	m.current, m.moves = move, append(m.moves, move)
	return move, m.lastEvent
}

// reserveLocked chooses the endpoint to move to and takes a retry token, if there is one that may take the stream.
func (m *mover) reserveLocked() (choice, bool) {
	t := m.t
	if t.executions+m.executions >= t.maxAttempts() {
		return choice{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now, from := time.Now(), m.from.endpoint.Name
	avoid := slices.Concat([]string{from}, t.avoid, m.refused)
	to, _, ok := t.chooseLocked(t.request, t.service, t.origin, avoid, now)
	if !ok || slices.Contains(avoid, to.endpoint.Name) || to.limit.Named || hasBacklog(t.endpoints[from]) && hasBacklog(to.state) {
		return choice{}, false
	}
	if !t.budgetLocked().TakeRetry() {
		return choice{}, false
	}
	t.router.RecordStart(to.endpoint, to.query, now)
	t.countSecondLocked(true)
	t.countRunningLocked(to.endpoint.Name, true)
	return to, true
}

// send sends the stream to the next endpoint, after it has loaded the stream's adapter.
func (m *mover) send(ctx context.Context, move *streamMove, lastEvent string) (*Response, error) {
	t := m.t
	if move.to.needsAdapter && !t.loadAdapter(ctx, move.to.state, t.request) {
		return nil, ErrNotSent{Endpoint: move.to.state.ID, Cause: ErrAdapterNotLoaded{Model: t.request.Model, Adapter: t.request.Adapter}}
	}
	defer time.AfterFunc(moveOverlap, func() { m.commit(move) }).Stop()
	return t.send(ctx, Call{
		Request: t.request, Endpoint: move.to.state.ID, Address: move.to.state.Address, Remaining: time.Until(t.endpointDeadline()),
		LastEvent: lastEvent, Stream: true, Urgency: t.urgency(), Team: t.team.Name, HasTeams: t.table.Teams != nil,
	})
}

// commit gives the silent endpoint up, as the next one has not refused the stream.
func (m *mover) commit(move *streamMove) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.current == move {
		m.commitLocked(move)
	}
}

func (m *mover) commitLocked(move *streamMove) {
	if !move.committed {
		move.committed = true
		m.t.stalled.Store(true)
		m.giveUp()
	}
}

// finish records the outcome of a move.
func (m *mover) finish(move *streamMove, response *Response, err error) {
	ran := err != nil && !IsErrNotSent(err)
	if err == nil {
		if ran = !response.NotRun && !response.Misdirected; !ran {
			m.t.recordNotices(move.to, response)
			m.t.recordNotRun(move.to, response, move.send)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if ran {
		m.executions++
	}
	canceled := m.current != move
	if err == nil && !canceled && response.takesStream() {
		move.response = response
		m.commitLocked(move)
		return
	}
	if err == nil {
		response.Close()
	}
	m.t.log.Info("silent stream not moved", "id", m.t.request.ID, "from", m.from.state.ID, "to", move.to.state.ID, "canceled", canceled, "ran", ran,
		"error", logging.ErrorText(err))
	if canceled || IsErrAdapterNotLoaded(err) {
		err = nil // no fault of the endpoint
	}
	m.release(move, err)
	m.refused = append(m.refused, move.to.endpoint.Name)
	if !canceled && !move.committed {
		m.current = nil
		if !m.closed {
			m.scheduleLocked(moveInterval)
		}
	}
}

// release ends the use of an endpoint that did not take the stream or is no longer needed.
func (m *mover) release(move *streamMove, fault error) {
	m.t.release(move.to, fault)
	m.t.mu.Lock()
	defer m.t.mu.Unlock()
	m.t.countSecondLocked(false)
}

// countSecondLocked counts the request a second time as waiting, or no longer, because two endpoints run it.
func (t *transaction) countSecondLocked(second bool) {
	switch d := t.demands[t.request.Model]; {
	case d == nil:
	case second:
		d.waiting++
	default:
		d.waiting--
	}
}

// takesStream reports whether an endpoint that was asked to go on with a stream does so.
func (r *Response) takesStream() bool {
	return r.Status == http.StatusOK && r.Signed && !r.NotRun && !r.Misdirected && r.Next != nil
}
