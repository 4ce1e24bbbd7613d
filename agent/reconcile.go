package agent

import (
	"context"
	"time"

	"burdocksaddle/engineapi"
	"burdocksaddle/setting"
	"burdocksaddle/wirepb"
)

const (
	controlCallTimeout  = 2 * time.Second
	pendingPollInterval = 50 * time.Millisecond
	idlePollInterval    = 500 * time.Millisecond
	// orderLostTimeout is how long the engine may show no effect of an order before the order counts as lost.
	orderLostTimeout = 2 * time.Second
	// unloadResendInterval is the delay before resending an unload order that had no effect.
	unloadResendInterval = 5 * time.Second
	// heartbeatInterval is the maximum time between reports to control if nothing changes.
	heartbeatInterval    = 5 * time.Second
	reportRetryInterval  = 200 * time.Millisecond
	defaultOrderLifetime = 10 * time.Second
)

// receivedOrder is a replica order with its time of receipt.
type receivedOrder struct {
	*wirepb.ReplicaOrder
	received time.Time
}

func (o receivedOrder) checkpointKey() string { return o.GetModel() + "@" + o.GetVersion() }

func (o receivedOrder) lifetime() time.Duration {
	if o.GetLifetimeMs() == 0 {
		return defaultOrderLifetime
	}
	return time.Duration(o.GetLifetimeMs()) * time.Millisecond
}

func (o receivedOrder) isLoad() bool { return !o.GetUnload() && !o.GetVerify() }

// loadHistory records when the last load order of a checkpoint was sent, and whether an earlier load order could still have
// been executed at that time.
type loadHistory struct {
	lastSent    time.Time
	overlapping bool
}

// reconciler is the state of the reconciliation loop. It is used by a single goroutine.
type reconciler struct {
	orders map[uint64]receivedOrder
	// sentAt maps an order's fencing token to the time it was sent; loadHistory is keyed by checkpoint.
	sentAt      map[uint64]time.Time
	loadHistory map[string]loadHistory
	refused     map[uint64]bool
	// registeredAt is when this process registered. A previous process may have sent orders until then.
	registeredAt  time.Time
	lastReport    string
	lastReportAt  time.Time
	lastAttemptAt time.Time
	sequence      uint64
}

func newReconciler(now time.Time) *reconciler {
	return &reconciler{
		orders: map[uint64]receivedOrder{}, sentAt: map[uint64]time.Time{}, loadHistory: map[string]loadHistory{},
		refused: map[uint64]bool{}, registeredAt: now,
	}
}

// reconcile is the loop that applies replica orders to the engine and reports the engine's state to control.
func (a *Agent) reconcile(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		rec := newReconciler(time.Now())
		for ctx.Err() == nil {
			a.reconcileOnce(ctx, rec)
			interval := idlePollInterval
			if len(rec.orders) > 0 {
				interval = pendingPollInterval
			}
			select {
			case <-ctx.Done():
			case orders := <-a.orders:
				rec.replaceOrders(orders, a.incarnation, time.Now())
			case <-a.wake:
			case <-time.After(interval):
			}
		}
		ended <- nil
	}()
	return ended
}

// reconcileOnce reads the engine's state, applies pending orders and sends a report.
func (a *Agent) reconcileOnce(ctx context.Context, rec *reconciler) {
	if a.settings.Agent.Kind != string(setting.KindModel) {
		a.sendPlainReport(ctx, rec)
		return
	}
	queriedAt := time.Now()
	var state engineapi.State
	if err := a.getEngine(ctx, engineapi.PathState, &state); err != nil {
		a.log.V(1).Info("failed to read engine state", "error", err.Error())
		return
	}
	a.recordEngineState(state)
	a.applyOrders(ctx, rec, state, queriedAt)
	a.sendReport(ctx, rec, a.buildReport(rec, state, queriedAt))
}

// replaceOrders replaces all orders. The time of receipt is reset for orders that were already present.
func (rec *reconciler) replaceOrders(orders []*wirepb.ReplicaOrder, incarnation uint64, now time.Time) {
	rec.orders = make(map[uint64]receivedOrder, len(orders))
	fences := make(map[uint64]bool, len(orders))
	for _, replicaOrder := range orders {
		if replicaOrder.GetIncarnation() == incarnation {
			rec.orders[replicaOrder.GetReplica()] = receivedOrder{ReplicaOrder: replicaOrder, received: now}
			fences[replicaOrder.GetFence()] = true
		}
	}
	for fence := range rec.sentAt {
		if !fences[fence] {
			delete(rec.sentAt, fence)
			delete(rec.refused, fence)
		}
	}
	for key, history := range rec.loadHistory {
		if now.Sub(history.lastSent) > time.Hour {
			delete(rec.loadHistory, key)
		}
	}
}
