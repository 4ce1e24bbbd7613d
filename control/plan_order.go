package control

import (
	"time"

	"burdocksaddle/fleet"
	"burdocksaddle/wirepb"
)

const (
	orderLifetime = 10 * time.Second
	// An agent may use its adapter permits for this long after it received them.
	permitLifetime = 10 * time.Second
	// A portion may go to another agent only after all permits sent for it have expired, so it outlasts permitLifetime
	// by at least the longest delay of an update.
	portionLifetime    = 45 * time.Second
	portionRenewBefore = 30 * time.Second
)

// replicaOrders derives an agent's orders from the state, so that a lost order is sent again with the next update.
func (m *Member) replicaOrders(endpoint string, incarnation uint64) []*wirepb.ReplicaOrder {
	known, ok := m.machine.fleet.Endpoint(endpoint)
	if !ok || known.Incarnation != incarnation {
		return nil
	}
	var orders []*wirepb.ReplicaOrder
	for _, replica := range m.machine.fleet.Replicas(endpoint) {
		if replica.State == fleet.Loaded {
			continue
		}
		model, _ := m.machine.catalog.Model(replica.Model)
		orders = append(orders, &wirepb.ReplicaOrder{
			Replica: replica.ID, Model: replica.Model, Version: replica.Version, Fence: replica.Fence,
			Incarnation: incarnation, Unload: replica.State == fleet.Unloading, Verify: replica.State == fleet.Unknown,
			MemoryMb: replica.MemoryMB, CheckpointMb: model.CheckpointMB, Role: replica.Role,
			LifetimeMs: uint64(orderLifetime.Milliseconds()),
		})
	}
	return orders
}

// addPermits adds an agent's portion to an update, unless the portion expires too soon.
func (m *Member) addPermits(u *wirepb.WatchUpdate, endpoint string, incarnation uint64) {
	portion, ok := m.machine.fleet.Portion(endpoint)
	remaining := time.UnixMilli(portion.UntilMS).Sub(m.machine.notBefore(time.Now()))
	if !ok || portion.Incarnation != incarnation || remaining < portionLifetime-portionRenewBefore {
		return
	}
	u.AdapterPermits, u.AdapterPermitsMs = uint32(portion.Permits), uint64(min(permitLifetime, remaining/2).Milliseconds())
}
