package agent

import (
	"context"
	"time"

	"burdocksaddle/engineapi"
	"burdocksaddle/setting"
	"burdocksaddle/wirepb"
)

const (
	callTimeout = 2 * time.Second
	pollBusy    = 50 * time.Millisecond
	pollIdle    = 500 * time.Millisecond
	// An order without a sign in the engine's state counts as lost after this.
	lostAfter = 2 * time.Second
	// An unload that the engine does not show is sent again after this.
	resendInterval = 5 * time.Second
	// Control hears from a quiet agent this often.
	heartbeatInterval = 5 * time.Second
	reportRetry       = 200 * time.Millisecond
	defaultLifetime   = 10 * time.Second
)

// order is an order with the time at which the agent got it.
type order struct {
	*wirepb.ReplicaOrder
	received time.Time
}

func (o order) key() string { return o.GetModel() + "@" + o.GetVersion() }

func (o order) lifetime() time.Duration {
	if o.GetLifetimeMs() == 0 {
		return defaultLifetime
	}
	return time.Duration(o.GetLifetimeMs()) * time.Millisecond
}

func (o order) load() bool { return !o.GetUnload() && !o.GetVerify() }

// sentLoads is when the last load order of a checkpoint went out, and whether
// an earlier one could still be carried out then.
type sentLoads struct {
	last  time.Time
	again bool
}

// holder is what the holding duty knows; one goroutine owns it.
type holder struct {
	orders map[uint64]order
	// sent holds when an order of a fence went to the engine, loads what is known of a checkpoint's load orders.
	sent    map[uint64]time.Time
	loads   map[string]sentLoads
	refused map[uint64]bool
	// since is when the agent registered: an older process may have sent orders until then.
	since    time.Time
	told     string
	toldAt   time.Time
	triedAt  time.Time
	sequence uint64
}

func newHolder(now time.Time) *holder {
	return &holder{
		orders: map[uint64]order{}, sent: map[uint64]time.Time{}, loads: map[string]sentLoads{},
		refused: map[uint64]bool{}, since: now,
	}
}

// hold is the duty that brings the engine to what the orders say and reports what it holds.
func (a *Agent) hold(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		h := newHolder(time.Now())
		for ctx.Err() == nil {
			a.holdOnce(ctx, h)
			wait := pollIdle
			if len(h.orders) > 0 {
				wait = pollBusy
			}
			select {
			case <-ctx.Done():
			case orders := <-a.orders:
				h.take(orders, a.incarnation, time.Now())
			case <-a.nudged:
			case <-time.After(wait):
			}
		}
		ended <- nil
	}()
	return ended
}

// holdOnce asks the engine once, carries out what is due and reports.
func (a *Agent) holdOnce(ctx context.Context, h *holder) {
	if a.settings.Agent.Kind != string(setting.KindModel) {
		a.tellPlain(ctx, h)
		return
	}
	asked := time.Now()
	var state engineapi.State
	if err := a.get(ctx, engineapi.PathState, &state); err != nil {
		a.log.V(1).Info("engine not asked", "error", err.Error())
		return
	}
	a.noteAdapters(state)
	a.carryOut(ctx, h, state, asked)
	a.tell(ctx, h, a.report(h, state, asked))
}

// take replaces the orders; an order that is still given keeps no older arrival.
func (h *holder) take(orders []*wirepb.ReplicaOrder, incarnation uint64, now time.Time) {
	h.orders = make(map[uint64]order, len(orders))
	fences := make(map[uint64]bool, len(orders))
	for _, one := range orders {
		if one.GetIncarnation() == incarnation {
			h.orders[one.GetReplica()] = order{ReplicaOrder: one, received: now}
			fences[one.GetFence()] = true
		}
	}
	for fence := range h.sent {
		if !fences[fence] {
			delete(h.sent, fence)
			delete(h.refused, fence)
		}
	}
	for key, loads := range h.loads {
		if now.Sub(loads.last) > time.Hour {
			delete(h.loads, key)
		}
	}
}
