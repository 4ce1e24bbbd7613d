package agent

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"burdocksaddle/catalog"
	"burdocksaddle/engineapi"
	"burdocksaddle/wirepb"
)

// carryOut sends the engine each order that is due, lowest fence first, since
// an engine that checks fencing numbers refuses what comes behind a newer one.
func (a *Agent) carryOut(ctx context.Context, h *holder, state engineapi.State, now time.Time) {
	facts := a.facts()
	if facts.OrdersBy == catalog.OrdersByOperator {
		return
	}
	orders := slices.SortedFunc(maps.Values(h.orders), func(a, b order) int { return cmp.Compare(a.GetFence(), b.GetFence()) })
	for _, one := range orders {
		if now.Sub(one.received) > one.lifetime() {
			continue // too old to be carried out; the next update gives it again if it still holds
		}
		held, there := heldOf(state, one)
		at, sent := h.sent[one.GetFence()]
		switch {
		case one.load() && !there && !sent:
			a.sendLoad(ctx, h, one)
		case one.GetUnload() && there && held.State != engineapi.HeldUnloading && (!sent || now.Sub(at) > resendInterval),
			!one.load() && !there && facts.ChecksFencing && state.HighestFence < one.GetFence() && (!sent || now.Sub(at) > resendInterval):
			// Where nothing is held the order raises the fence that keeps older loads out.
			a.sendUnload(ctx, h, one)
		}
	}
}

func (a *Agent) sendLoad(ctx context.Context, h *holder, one order) {
	now := time.Now()
	h.sent[one.GetFence()], h.loads[one.key()] = now, now
	err := a.post(ctx, engineapi.PathLoad, engineapi.Order{
		Model: one.GetModel(), Version: one.GetVersion(), MemoryMB: one.GetMemoryMb(),
		CheckpointMB: one.GetCheckpointMb(), Fence: one.GetFence(), Role: one.GetRole(),
	})
	if refusal, ok := isRefused(err); ok && refusal.Status == http.StatusConflict {
		h.refused[one.GetFence()] = true
	}
	a.log.Info("load order sent", "replica", one.GetReplica(), "model", one.GetModel(), "fence", one.GetFence(), "error", errorText(err))
}

func (a *Agent) sendUnload(ctx context.Context, h *holder, one order) {
	h.sent[one.GetFence()] = time.Now()
	err := a.post(ctx, engineapi.PathUnload, engineapi.Order{Model: one.GetModel(), Version: one.GetVersion(), Fence: one.GetFence()})
	a.log.Info("unload order sent", "replica", one.GetReplica(), "model", one.GetModel(), "fence", one.GetFence(), "error", errorText(err))
}

// report says everything that the engine holds and what is known of each order.
func (a *Agent) report(h *holder, state engineapi.State, asked time.Time) *wirepb.Report {
	report := &wirepb.Report{Endpoint: a.settings.Agent.Endpoint, Incarnation: a.incarnation, Fresh: true}
	for _, one := range state.Held {
		report.Replicas = append(report.Replicas, &wirepb.ReplicaView{
			Model: one.Model, Version: one.Version, MemoryMb: one.MemoryMB, Fence: one.Fence, State: heldStates[one.State],
		})
	}
	facts := a.facts()
	for id, one := range h.orders {
		if _, there := heldOf(state, one); there {
			continue
		}
		at, sent := h.sent[one.GetFence()]
		switch {
		case !one.load() && h.absent(one, state, facts.ChecksFencing, asked):
			report.Replicas = append(report.Replicas, &wirepb.ReplicaView{Id: id, Fence: one.GetFence(), State: wirepb.ReplicaState_REPLICA_GONE})
		case one.load() && sent && (h.refused[one.GetFence()] || asked.Sub(at) > lostAfter):
			report.Replicas = append(report.Replicas, &wirepb.ReplicaView{Id: id, Fence: one.GetFence(), State: wirepb.ReplicaState_REPLICA_DECIDED})
		}
	}
	slices.SortFunc(report.Replicas, func(a, b *wirepb.ReplicaView) int {
		return cmp.Or(cmp.Compare(a.GetId(), b.GetId()), cmp.Compare(a.GetModel(), b.GetModel()), cmp.Compare(a.GetVersion(), b.GetVersion()))
	})
	return report
}

// absent tells whether a replica that the engine doesn't hold cannot come back:
// either the engine refuses older orders, or all of them have outlived their lifetime.
func (h *holder) absent(one order, state engineapi.State, checksFencing bool, asked time.Time) bool {
	if checksFencing && state.HighestFence >= one.GetFence() {
		return true
	}
	last := h.since
	if at, ok := h.loads[one.key()]; ok && at.After(last) {
		last = at
	}
	return asked.Sub(last) > one.lifetime()
}

// heldOf finds what the engine holds for an order.
func heldOf(state engineapi.State, one order) (engineapi.Held, bool) {
	for _, held := range state.Held {
		if held.Model == one.GetModel() && held.Version == one.GetVersion() {
			return held, true
		}
	}
	return engineapi.Held{}, false
}

var heldStates = map[engineapi.HeldState]wirepb.ReplicaState{
	engineapi.HeldLoading: wirepb.ReplicaState_REPLICA_LOADING, engineapi.HeldLoaded: wirepb.ReplicaState_REPLICA_LOADED,
	engineapi.HeldUnloading: wirepb.ReplicaState_REPLICA_UNLOADING,
}

// facts returns what the catalog says of the endpoint; an unlisted one checks nothing.
func (a *Agent) facts() catalog.Endpoint {
	a.mu.Lock()
	watch := a.watch
	a.mu.Unlock()
	if watch == nil {
		return catalog.Endpoint{}
	}
	facts, _ := watch.Catalog().Endpoint(a.settings.Agent.Endpoint)
	return facts
}
