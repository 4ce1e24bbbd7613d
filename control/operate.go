package control

import (
	"context"
	"encoding/json"
	"time"

	"burdocksaddle/catalog"
	"burdocksaddle/placement"
	"burdocksaddle/wirepb"
)

// Change puts an operator's change forward, based on a version and under an operation id.
func (m *Member) Change(ctx context.Context, operator, operationID string, base uint64, change catalog.Change) (*wirepb.CommandResult, error) {
	data, err := json.Marshal(change)
	if err != nil {
		return nil, err
	}
	result, err := m.Propose(ctx, &wirepb.Command{Kind: &wirepb.Command_CatalogChange{CatalogChange: &wirepb.CatalogChange{
		OperationId: operationID, Operator: operator, BaseVersion: base, Change: data,
	}}})
	if err == nil {
		m.log.Info("change answered", "operator", operator, "operation", operationID, "version", result.GetCatalogVersion(), "refusal", result.GetErrorCode())
	}
	return result, err
}

// History returns the accepted changes, oldest first.
func (m *Member) History() []Change {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return append([]Change{}, m.machine.history...)
}

// At returns the catalog of a version that the history still reaches.
func (m *Member) At(version uint64) (catalog.Catalog, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.machine.At(version)
}

// Members returns the control members as the leader knows them, or as this one does while no leader answers.
func (m *Member) Members(ctx context.Context) []MemberInfo {
	if m.leader() {
		return m.shared.Members()
	}
	reply := m.relay(ctx, &wirepb.Frame{Body: &wirepb.Frame_MemberQuery{MemberQuery: &wirepb.MemberQuery{}}})
	var members []MemberInfo
	if json.Unmarshal(reply.GetMemberReply().GetMembers(), &members) != nil {
		return m.shared.Members()
	}
	return members
}

// TellMembers answers another member with the members as this one knows them.
func (m *Member) TellMembers(context.Context) *wirepb.Frame {
	data, err := json.Marshal(m.shared.Members())
	if err != nil {
		return nil
	}
	return &wirepb.Frame{Body: &wirepb.Frame_MemberReply{MemberReply: &wirepb.MemberReply{Members: data}}}
}

// Dump is a control member's state.
type Dump struct {
	Index    uint64
	Catalog  uint64
	Preset   string
	Fleet    uint64
	Claims   int
	Watchers int
	// ProofAgeMS is how long ago the member last proved the quorum.
	ProofAgeMS int64
	Leading    bool
	Replicas   []ReplicaDump
	// Plans say what the leader plans for each model and why; other members have none.
	Plans []placement.Explanation
	// StoreSlots is how many loads from the weight store run at once by what was measured.
	StoreSlots int
}

// ReplicaDump describes one replica.
type ReplicaDump struct {
	ID       uint64
	Model    string
	Endpoint string
	State    string
	Fence    uint64
	Reason   string
	// Source and ExpectedMS are the estimate that its load was decided with.
	Source     string
	ExpectedMS int64
	Attempts   int
}

// Dump returns the member's state for operators, without secrets.
func (m *Member) Dump() Dump {
	// Asked before the lock, since the log applies entries under its own.
	leading := m.leader()
	plans, slots := m.planner.explain(time.Now())
	m.mu.RLock()
	defer m.mu.RUnlock()
	d := Dump{
		Index: m.machine.index, Catalog: m.machine.catalog.Version, Preset: m.machine.catalog.Preset,
		Fleet: m.machine.fleet.Version(), Claims: m.machine.ledger.Len(), Watchers: len(m.holders), Replicas: []ReplicaDump{},
		ProofAgeMS: time.Since(m.proof.at).Milliseconds(), Leading: leading, Plans: plans, StoreSlots: slots,
	}
	for _, endpoint := range m.machine.fleet.Endpoints() {
		for _, r := range m.machine.fleet.Replicas(endpoint.Name) {
			d.Replicas = append(d.Replicas, ReplicaDump{
				ID: r.ID, Model: r.Model, Endpoint: r.Endpoint, State: string(r.State), Fence: r.Fence,
				Reason: r.Reason, Source: r.Source, ExpectedMS: r.ExpectedMS, Attempts: r.Attempts,
			})
		}
	}
	return d
}
