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
		case one.GetUnload() && there && held.State != engineapi.HeldUnloading && !sent && h.mayUnload(one, facts.ChecksFencing, now),
			!one.load() && !there && facts.ChecksFencing && state.HighestFence < one.GetFence() && (!sent || now.Sub(at) > resendInterval):
			// Where nothing is held the order raises the fence that keeps older loads out.
			a.sendUnload(ctx, h, one)
		}
	}
}

func (a *Agent) sendLoad(ctx context.Context, h *holder, one order) {
	now := time.Now()
	before, known := h.loads[one.key()]
	h.sent[one.GetFence()] = now
	h.loads[one.key()] = sentLoads{last: now, again: known && now.Sub(before.last) <= one.lifetime() || now.Sub(h.since) <= one.lifetime()}
	err := a.post(ctx, engineapi.PathLoad, engineapi.Order{
		Model: one.GetModel(), Version: one.GetVersion(), MemoryMB: one.GetMemoryMb(),
		CheckpointMB: one.GetCheckpointMb(), Fence: one.GetFence(), Role: one.GetRole(),
	})
	h.noteRefusal(one, err)
	a.log.Info("load order sent", "replica", one.GetReplica(), "model", one.GetModel(), "fence", one.GetFence(), "error", errorText(err))
}

func (a *Agent) sendUnload(ctx context.Context, h *holder, one order) {
	h.sent[one.GetFence()] = time.Now()
	err := a.post(ctx, engineapi.PathUnload, engineapi.Order{Model: one.GetModel(), Version: one.GetVersion(), Fence: one.GetFence()})
	h.noteRefusal(one, err)
	a.log.Info("unload order sent", "replica", one.GetReplica(), "model", one.GetModel(), "fence", one.GetFence(), "error", errorText(err))
}

func (h *holder) noteRefusal(one order, err error) {
	if refusal, ok := isRefused(err); ok && refusal.Status == http.StatusConflict {
		h.refused[one.GetFence()] = true
	}
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
		held, there := heldOf(state, one)
		at, sent := h.sent[one.GetFence()]
		lost := sent && (h.refused[one.GetFence()] || asked.Sub(at) > lostAfter)
		switch {
		case there && one.GetUnload() && held.State != engineapi.HeldUnloading && lost:
			report.Replicas = append(report.Replicas, &wirepb.ReplicaView{Id: id, Fence: one.GetFence(), State: wirepb.ReplicaState_REPLICA_DECIDED})
		case there:
		case !one.load() && h.absent(one, state, facts.ChecksFencing, asked):
			report.Replicas = append(report.Replicas, &wirepb.ReplicaView{Id: id, Fence: one.GetFence(), State: wirepb.ReplicaState_REPLICA_GONE})
		case one.load() && lost:
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
	return asked.Sub(h.lastLoad(one)) > one.lifetime()
}

// lastLoad returns when the last load order of a checkpoint may have gone out, by an older process too.
func (h *holder) lastLoad(one order) time.Time {
	if loads, ok := h.loads[one.key()]; ok && loads.last.After(h.since) {
		return loads.last
	}
	return h.since
}

// mayUnload tells whether an unload cannot meet a load order behind it, which
// an engine that ignores fencing numbers would carry out beside what it still
// unloads. The one load order that brought the replica up has been carried out.
func (h *holder) mayUnload(one order, checksFencing bool, now time.Time) bool {
	loads, known := h.loads[one.key()]
	return checksFencing || known && !loads.again || now.Sub(h.lastLoad(one)) > one.lifetime()
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

// catalogFacts returns what the catalog says of the endpoint; an unlisted one checks nothing.
func (a *Agent) catalogFacts() catalog.Endpoint {
	a.mu.Lock()
	watch := a.watch
	a.mu.Unlock()
	if watch == nil {
		return catalog.Endpoint{}
	}
	facts, _ := watch.Catalog().Endpoint(a.settings.Agent.Endpoint)
	return facts
}
