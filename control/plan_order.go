package control

import (
	"time"

	"burdocksaddle/fleet"
	"burdocksaddle/wirepb"
)

const (
	orderLifetime = 10 * time.Second
	// An agent uses its adapter permits this long after it heard of them.
	permitLength = 10 * time.Second
	// A portion can go to another agent only after the longest delay of an update on top.
	portionLength = 45 * time.Second
	portionRenew  = 30 * time.Second
)

// orders derives what an agent should do from the state, so that a lost order is simply sent again.
func (m *Member) orders(endpoint string, incarnation uint64) []*wirepb.ReplicaOrder {
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

// addPermits tells an agent its portion while the portion has long enough to run.
func (m *Member) addPermits(u *wirepb.WatchUpdate, endpoint string, incarnation uint64) {
	portion, ok := m.machine.fleet.Portion(endpoint)
	left := time.Until(time.UnixMilli(portion.UntilMS))
	if !ok || portion.Incarnation != incarnation || left < portionLength-portionRenew {
		return
	}
	u.AdapterPermits, u.AdapterPermitsMs = uint32(portion.Permits), uint64(min(permitLength, left/2).Milliseconds())
}
