package standin

import (
	"context"
	"net/http"
	"slices"
	"time"

	"burdocksaddle/engineapi"
)

// replica is a model replica that occupies accelerator memory.
type replica struct {
	engineapi.Held
	cancel context.CancelFunc
}

func (r *replica) serves(model string) bool {
	return r.State == engineapi.HeldLoaded && (r.Model == model || slices.Contains(r.Adapters, model))
}

func checkpointOf(order engineapi.Order) string {
	return order.Model + "@" + order.Version
}

// serveOrder accepts an order with status 202 and executes it. If the active fault sets a delay, the fencing token is checked
// again after it.
func (e *Engine) serveOrder(apply func(context.Context, engineapi.Order)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var order engineapi.Order
		if !readJSON(w, r, &order) {
			return
		}
		if httpErr := e.checkOrder(order, r.URL.Path == engineapi.PathLoad); httpErr != nil {
			httpErr.write(w)
			return
		}
		delay := time.Duration(e.Fault().LateOrderMS) * time.Millisecond
		if delay <= 0 {
			e.executeOrder(order, apply)
		} else {
			e.spawn(func(ctx context.Context) {
				if sleepContext(ctx, delay) && e.checkOrder(order, false) == nil {
					e.executeOrder(order, apply)
				}
			})
		}
		w.WriteHeader(http.StatusAccepted)
	}
}

func (e *Engine) executeOrder(order engineapi.Order, apply func(context.Context, engineapi.Order)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fence < e.highestFence {
		e.counts.OldOrders++
	}
	e.highestFence = max(e.highestFence, order.Fence)
	apply(e.ctx, order)
}

// checkOrder returns the error response if an order is refused, or nil.
func (e *Engine) checkOrder(order engineapi.Order, load bool) *httpError {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checkFencing && order.Fence < e.highestFence {
		e.counts.RefusedOrders++
		return newHTTPError(http.StatusConflict, CodeOldFence, "fencing token is older than that of a previous order")
	}
	fits := e.usedMemoryMB()+order.MemoryMB <= e.memoryMB
	if load && e.refuseOvercommit && !fits && e.findReplica(order) == nil {
		e.counts.RefusedOrders++
		return newHTTPError(http.StatusConflict, CodeOutOfMemory, "not enough free memory for the model")
	}
	return nil
}

func (e *Engine) usedMemoryMB() uint64 {
	var sum uint64
	for _, r := range e.replicas {
		sum += r.MemoryMB
	}
	return sum
}

// findReplica returns the loading or loaded replica of the order's
// model and version, or nil. An empty version matches any.
func (e *Engine) findReplica(order engineapi.Order) *replica {
	for _, r := range e.replicas {
		same := r.Model == order.Model && (order.Version == "" || r.Version == order.Version)
		if same && r.State != engineapi.HeldUnloading {
			return r
		}
	}
	return nil
}

func (e *Engine) load(ctx context.Context, order engineapi.Order) {
	if r := e.findReplica(order); r != nil {
		r.Fence = max(r.Fence, order.Fence)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	r := &replica{cancel: cancel, Held: engineapi.Held{
		Model: order.Model, Version: order.Version, MemoryMB: order.MemoryMB, Fence: order.Fence,
		State: engineapi.HeldLoading, CachedIn: e.checkpointLocation(checkpointOf(order)),
	}}
	e.replicas = append(e.replicas, r)
	e.recordLoadStart(order.Model)
	cachedIn := r.CachedIn
	e.spawn(func(context.Context) {
		defer cancel()
		if e.loadWeights(ctx, order, cachedIn) {
			e.finishLoad(ctx, r)
		}
	})
}

func (e *Engine) recordLoadStart(model string) {
	e.counts.Loads++
	sum := e.usedMemoryMB()
	e.counts.PeakMB = max(e.counts.PeakMB, sum)
	if sum > e.memoryMB {
		e.counts.Overcommits++
	}
	replicas := 0
	for _, r := range e.replicas {
		if r.Model == model {
			replicas++
		}
	}
	e.counts.PeakReplicas[model] = max(e.counts.PeakReplicas[model], replicas)
}

func (e *Engine) finishLoad(ctx context.Context, r *replica) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	r.State = engineapi.HeldLoaded
	e.cacheCheckpoint(r.Model + "@" + r.Version)
}

// abortLoads removes all replicas that are loading, as if the engine process had crashed.
func (e *Engine) abortLoads() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.replicas = slices.DeleteFunc(e.replicas, func(r *replica) bool {
		loading := r.State == engineapi.HeldLoading
		if loading {
			r.cancel()
			e.counts.LostLoads++
		}
		return loading
	})
}

// unload stops accepting requests for the replica, waits for its last one and frees its memory.
func (e *Engine) unload(_ context.Context, order engineapi.Order) {
	r := e.findReplica(order)
	if r == nil {
		return
	}
	r.cancel()
	r.State = engineapi.HeldUnloading
	r.Fence = max(r.Fence, order.Fence)
	e.counts.Unloads++
	e.spawn(func(ctx context.Context) {
		for e.hasRequests(r) {
			if !e.sleep(ctx, e.tokenTime) {
				return
			}
		}
		if e.sleep(ctx, e.unloadTime) {
			e.removeReplica(r)
		}
	})
}

func (e *Engine) hasRequests(target *replica) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	usesReplica := func(r *run) bool { return r.replica == target }
	return slices.ContainsFunc(e.running, usesReplica) || slices.ContainsFunc(e.waiting, usesReplica)
}

func (e *Engine) removeReplica(r *replica) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.replicas = slices.DeleteFunc(e.replicas, func(other *replica) bool { return other == r })
}

func (e *Engine) loadAdapter(_ context.Context, order engineapi.Order) {
	e.spawn(func(ctx context.Context) {
		if !e.sleep(ctx, e.adapterTime(order)) {
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		r := e.findReplica(order)
		if r != nil && r.State == engineapi.HeldLoaded && !slices.Contains(r.Adapters, order.Adapter) {
			r.Adapters = append(r.Adapters, order.Adapter)
		}
	})
}

func (e *Engine) setRole(_ context.Context, order engineapi.Order) {
	e.role = order.Role
}
