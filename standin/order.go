package standin

import (
	"context"
	"net/http"
	"slices"
	"time"

	"burdocksaddle/engineapi"
)

// held is one replica that takes up memory.
type held struct {
	engineapi.Held
	cancel context.CancelFunc
}

func (h *held) serves(model string) bool {
	return h.State == engineapi.HeldLoaded && (h.Model == model || slices.Contains(h.Adapters, model))
}

func checkpointOf(order engineapi.Order) string {
	return order.Model + "@" + order.Version
}

// serveOrder accepts an order with 202 and carries it out, late if the fault in force says so.
func (e *Engine) serveOrder(carryOut func(context.Context, engineapi.Order)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var order engineapi.Order
		if !readJSON(w, r, &order) {
			return
		}
		if reason := e.refusal(order, r.URL.Path == engineapi.PathLoad); reason != nil {
			reason.write(w)
			return
		}
		late := time.Duration(e.Fault().LateOrderMS) * time.Millisecond
		if late <= 0 {
			e.carryOut(order, carryOut)
		} else {
			e.start(func(ctx context.Context) {
				if pause(ctx, late) && e.refusal(order, false) == nil {
					e.carryOut(order, carryOut)
				}
			})
		}
		w.WriteHeader(http.StatusAccepted)
	}
}

func (e *Engine) carryOut(order engineapi.Order, do func(context.Context, engineapi.Order)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fence < e.highestFence {
		e.counts.OldOrders++
	}
	e.highestFence = max(e.highestFence, order.Fence)
	do(e.ctx, order)
}

// refusal returns why an order is refused, or nil.
func (e *Engine) refusal(order engineapi.Order, load bool) *refusal {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checkFencing && order.Fence < e.highestFence {
		e.counts.RefusedOrders++
		return refuse(http.StatusConflict, CodeOldFence, "a newer order was seen")
	}
	fits := e.heldMB()+order.MemoryMB <= e.memoryMB
	if load && e.refuseOvercommit && !fits && e.replica(order) == nil {
		e.counts.RefusedOrders++
		return refuse(http.StatusConflict, CodeOutOfMemory, "the model doesn't fit")
	}
	return nil
}

func (e *Engine) heldMB() uint64 {
	var sum uint64
	for _, h := range e.held {
		sum += h.MemoryMB
	}
	return sum
}

// replica returns the one of the order's model and version that is loading or loaded.
func (e *Engine) replica(order engineapi.Order) *held {
	for _, h := range e.held {
		same := h.Model == order.Model && (order.Version == "" || h.Version == order.Version)
		if same && h.State != engineapi.HeldUnloading {
			return h
		}
	}
	return nil
}

func (e *Engine) load(ctx context.Context, order engineapi.Order) {
	if h := e.replica(order); h != nil {
		h.Fence = max(h.Fence, order.Fence)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	h := &held{cancel: cancel, Held: engineapi.Held{
		Model: order.Model, Version: order.Version, MemoryMB: order.MemoryMB, Fence: order.Fence,
		State: engineapi.HeldLoading, CachedIn: e.cachedIn(checkpointOf(order)),
	}}
	e.held = append(e.held, h)
	e.countHeld(order.Model)
	cachedIn := h.CachedIn
	e.start(func(context.Context) {
		defer cancel()
		if e.fetch(ctx, order, cachedIn) {
			e.loaded(ctx, h)
		}
	})
}

func (e *Engine) countHeld(model string) {
	e.counts.Loads++
	sum := e.heldMB()
	e.counts.PeakMB = max(e.counts.PeakMB, sum)
	if sum > e.memoryMB {
		e.counts.Overcommits++
	}
	replicas := 0
	for _, h := range e.held {
		if h.Model == model {
			replicas++
		}
	}
	e.counts.PeakReplicas[model] = max(e.counts.PeakReplicas[model], replicas)
}

func (e *Engine) loaded(ctx context.Context, h *held) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() != nil {
		return
	}
	h.State = engineapi.HeldLoaded
	e.shelve(h.Model + "@" + h.Version)
}

// loseLoads drops every load in progress, as when the process dies.
func (e *Engine) loseLoads() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held = slices.DeleteFunc(e.held, func(h *held) bool {
		lost := h.State == engineapi.HeldLoading
		if lost {
			h.cancel()
			e.counts.LostLoads++
		}
		return lost
	})
}

// unload takes no new requests for the replica, waits for its last one and frees its memory.
func (e *Engine) unload(_ context.Context, order engineapi.Order) {
	h := e.replica(order)
	if h == nil {
		return
	}
	h.cancel()
	h.State = engineapi.HeldUnloading
	h.Fence = max(h.Fence, order.Fence)
	e.counts.Unloads++
	e.start(func(ctx context.Context) {
		for e.busy(h) {
			if !e.sleep(ctx, e.tokenTime) {
				return
			}
		}
		if e.sleep(ctx, e.unloadTime) {
			e.free(h)
		}
	})
}

func (e *Engine) busy(h *held) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	on := func(r *run) bool { return r.held == h }
	return slices.ContainsFunc(e.running, on) || slices.ContainsFunc(e.waiting, on)
}

func (e *Engine) free(h *held) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held = slices.DeleteFunc(e.held, func(other *held) bool { return other == h })
}

func (e *Engine) loadAdapter(_ context.Context, order engineapi.Order) {
	e.start(func(ctx context.Context) {
		if !e.sleep(ctx, e.adapterTime(order)) {
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		h := e.replica(order)
		if h != nil && h.State == engineapi.HeldLoaded && !slices.Contains(h.Adapters, order.Adapter) {
			h.Adapters = append(h.Adapters, order.Adapter)
		}
	})
}

func (e *Engine) setRole(_ context.Context, order engineapi.Order) {
	e.role = order.Role
}
