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

// applyOrders sends all due orders to the engine in ascending order of their fencing tokens, since an engine that checks
// them refuses any order with a token lower than the highest it has seen.
func (a *Agent) applyOrders(ctx context.Context, rec *reconciler, state engineapi.State, now time.Time) {
	config := a.endpointConfig()
	if config.OrdersBy == catalog.OrdersByOperator {
		return
	}
	orders := slices.SortedFunc(maps.Values(rec.orders), func(a, b receivedOrder) int { return cmp.Compare(a.GetFence(), b.GetFence()) })
	for _, o := range orders {
		if now.Sub(o.received) > o.lifetime() {
			continue // order expired; the next update renews it if it is still valid
		}
		held, found := findHeld(state, o)
		sentAt, sent := rec.sentAt[o.GetFence()]
		switch {
		case o.isLoad() && !found && !sent:
			a.sendLoad(ctx, rec, o)
		case o.GetUnload() && found && held.State != engineapi.HeldUnloading && !sent && rec.mayUnload(o, config.ChecksFencing, now),
			!o.isLoad() && !found && config.ChecksFencing && state.HighestFence < o.GetFence() && (!sent || now.Sub(sentAt) > unloadResendInterval):
			// If the replica isn't held, the unload order still raises the engine's fencing token and thus blocks older load orders.
			a.sendUnload(ctx, rec, o)
		}
	}
}

func (a *Agent) sendLoad(ctx context.Context, rec *reconciler, o receivedOrder) {
	now := time.Now()
	previous, known := rec.loadHistory[o.checkpointKey()]
	rec.sentAt[o.GetFence()] = now
	rec.loadHistory[o.checkpointKey()] = loadHistory{lastSent: now, overlapping: known && now.Sub(previous.lastSent) <= o.lifetime() || now.Sub(rec.registeredAt) <= o.lifetime()}
	err := a.postEngine(ctx, engineapi.PathLoad, engineapi.Order{
		Model: o.GetModel(), Version: o.GetVersion(), MemoryMB: o.GetMemoryMb(),
		CheckpointMB: o.GetCheckpointMb(), Fence: o.GetFence(), Role: o.GetRole(),
	})
	rec.recordRefusal(o, err)
	a.log.Info("load order sent", "replica", o.GetReplica(), "model", o.GetModel(), "fence", o.GetFence(), "error", errorText(err))
}

func (a *Agent) sendUnload(ctx context.Context, rec *reconciler, o receivedOrder) {
	rec.sentAt[o.GetFence()] = time.Now()
	err := a.postEngine(ctx, engineapi.PathUnload, engineapi.Order{Model: o.GetModel(), Version: o.GetVersion(), Fence: o.GetFence()})
	rec.recordRefusal(o, err)
	a.log.Info("unload order sent", "replica", o.GetReplica(), "model", o.GetModel(), "fence", o.GetFence(), "error", errorText(err))
}

func (rec *reconciler) recordRefusal(o receivedOrder, err error) {
	if refusal, ok := asEngineRefused(err); ok && refusal.Status == http.StatusConflict {
		rec.refused[o.GetFence()] = true
	}
}

// buildReport reports all replicas held by the engine and the state of each order.
func (a *Agent) buildReport(rec *reconciler, state engineapi.State, queriedAt time.Time) *wirepb.Report {
	report := &wirepb.Report{Endpoint: a.settings.Agent.Endpoint, Incarnation: a.incarnation, Fresh: true}
	for _, held := range state.Held {
		report.Replicas = append(report.Replicas, &wirepb.ReplicaView{
			Model: held.Model, Version: held.Version, MemoryMb: held.MemoryMB, Fence: held.Fence, State: replicaStates[held.State],
		})
	}
	config := a.endpointConfig()
	for id, o := range rec.orders {
		held, found := findHeld(state, o)
		sentAt, sent := rec.sentAt[o.GetFence()]
		lost := sent && (rec.refused[o.GetFence()] || queriedAt.Sub(sentAt) > orderLostTimeout)
		switch {
		case found && o.GetUnload() && held.State != engineapi.HeldUnloading && lost:
			report.Replicas = append(report.Replicas, &wirepb.ReplicaView{Id: id, Fence: o.GetFence(), State: wirepb.ReplicaState_REPLICA_DECIDED})
		case found:
		case !o.isLoad() && rec.confirmedAbsent(o, state, config.ChecksFencing, queriedAt):
			report.Replicas = append(report.Replicas, &wirepb.ReplicaView{Id: id, Fence: o.GetFence(), State: wirepb.ReplicaState_REPLICA_GONE})
		case o.isLoad() && lost:
			report.Replicas = append(report.Replicas, &wirepb.ReplicaView{Id: id, Fence: o.GetFence(), State: wirepb.ReplicaState_REPLICA_DECIDED})
		}
	}
	slices.SortFunc(report.Replicas, func(a, b *wirepb.ReplicaView) int {
		return cmp.Or(cmp.Compare(a.GetId(), b.GetId()), cmp.Compare(a.GetModel(), b.GetModel()), cmp.Compare(a.GetVersion(), b.GetVersion()))
	})
	return report
}

// confirmedAbsent reports whether a replica that the engine doesn't hold can no longer appear, because the engine refuses
// older orders or because all load orders have expired.
func (rec *reconciler) confirmedAbsent(o receivedOrder, state engineapi.State, checksFencing bool, queriedAt time.Time) bool {
	if checksFencing && state.HighestFence >= o.GetFence() {
		return true
	}
	return queriedAt.Sub(rec.latestLoad(o)) > o.lifetime()
}

// latestLoad returns the latest time at which a load order for the checkpoint may have been sent, including by a previous process.
func (rec *reconciler) latestLoad(o receivedOrder) time.Time {
	if history, ok := rec.loadHistory[o.checkpointKey()]; ok && history.lastSent.After(rec.registeredAt) {
		return history.lastSent
	}
	return rec.registeredAt
}

// mayUnload reports whether no other load order can reach the engine after the unload. An engine that ignores fencing
// tokens would execute such a load while it is still unloading the replica. The load order that created the replica is
// not counted, as it has already been executed.
func (rec *reconciler) mayUnload(o receivedOrder, checksFencing bool, now time.Time) bool {
	history, known := rec.loadHistory[o.checkpointKey()]
	return checksFencing || known && !history.overlapping || now.Sub(rec.latestLoad(o)) > o.lifetime()
}

// findHeld returns the replica held by the engine that matches the order.
func findHeld(state engineapi.State, o receivedOrder) (engineapi.Held, bool) {
	for _, held := range state.Held {
		if held.Model == o.GetModel() && held.Version == o.GetVersion() {
			return held, true
		}
	}
	return engineapi.Held{}, false
}

var replicaStates = map[engineapi.HeldState]wirepb.ReplicaState{
	engineapi.HeldLoading: wirepb.ReplicaState_REPLICA_LOADING, engineapi.HeldLoaded: wirepb.ReplicaState_REPLICA_LOADED,
	engineapi.HeldUnloading: wirepb.ReplicaState_REPLICA_UNLOADING,
}

// catalogEndpoint returns the endpoint's catalog entry. For an unlisted endpoint it is zero, so that fencing checks are not assumed.
func (a *Agent) catalogEndpoint() catalog.Endpoint {
	a.mu.Lock()
	watch := a.watch
	a.mu.Unlock()
	if watch == nil {
		return catalog.Endpoint{}
	}
	config, _ := watch.Catalog().Endpoint(a.settings.Agent.Endpoint)
	return config
}
