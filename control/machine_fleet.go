package control

import (
	"burdocksaddle/fleet"
	"burdocksaddle/wirepb"
)

// inventory reads an agent's report.
func inventory(r *wirepb.Report) fleet.Inventory {
	i := fleet.Inventory{Endpoint: r.GetEndpoint(), Incarnation: r.GetIncarnation(), Sequence: r.GetSequence()}
	for _, view := range r.GetReplicas() {
		i.Held = append(i.Held, fleet.Held{
			ID: view.GetId(), Model: view.GetModel(), Version: view.GetVersion(),
			MemoryMB: view.GetMemoryMb(), Fence: view.GetFence(), State: StateOf(view.GetState()),
		})
	}
	return i
}

// grant shares the adapter budget out, within the budget as the leader saw it.
func (m *Machine) grant(g *wirepb.PortionGrant, atMS int64) {
	portions := make([]fleet.Portion, 0, len(g.GetPortions()))
	for _, one := range g.GetPortions() {
		portions = append(portions, fleet.Portion{Endpoint: one.GetEndpoint(), Incarnation: one.GetIncarnation(), Permits: int(one.GetPermits())})
	}
	m.fleet.Grant(portions, int(g.GetBudget()), int64(g.GetExpiresMs()), atMS)
}
