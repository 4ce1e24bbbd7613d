package control

import (
	"burdocksaddle/fleet"
	"burdocksaddle/wirepb"
)

// inventoryFromReport converts an agent's report.
func inventoryFromReport(r *wirepb.Report) fleet.Inventory {
	reported := fleet.Inventory{Endpoint: r.GetEndpoint(), Incarnation: r.GetIncarnation(), Sequence: r.GetSequence()}
	for _, view := range r.GetReplicas() {
		reported.Held = append(reported.Held, fleet.ReportedReplica{
			ID: view.GetId(), Model: view.GetModel(), Version: view.GetVersion(),
			MemoryMB: view.GetMemoryMb(), Fence: view.GetFence(), State: FleetState(view.GetState()),
		})
	}
	return reported
}

// grantPermits distributes the adapter transit budget; the budget is the one the leader put in the command.
func (m *StateMachine) grantPermits(g *wirepb.PortionGrant, atMS int64) {
	portions := make([]fleet.Portion, 0, len(g.GetPortions()))
	for _, portion := range g.GetPortions() {
		portions = append(portions, fleet.Portion{Endpoint: portion.GetEndpoint(), Incarnation: portion.GetIncarnation(), Permits: int(portion.GetPermits())})
	}
	m.fleet.Grant(portions, int(g.GetBudget()), int64(g.GetExpiresMs()), atMS)
}
