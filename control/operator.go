package control

import (
	"context"
	"encoding/json"
	"time"

	"burdocksaddle/catalog"
	"burdocksaddle/placement"
	"burdocksaddle/wirepb"
)

// ChangeCatalog proposes an operator's catalog change. It is refused unless base is the current catalog version; the
// operation id makes retries safe.
func (m *Member) ChangeCatalog(ctx context.Context, operator, operationID string, base uint64, change catalog.Change) (*wirepb.CommandResult, error) {
	data, err := json.Marshal(change)
	if err != nil {
		return nil, err
	}
	result, err := m.Propose(ctx, &wirepb.Command{Kind: &wirepb.Command_CatalogChange{CatalogChange: &wirepb.CatalogChange{
		OperationId: operationID, Operator: operator, BaseVersion: base, Change: data,
	}}})
	if err == nil {
		m.log.Info("catalog change processed", "operator", operator, "operation", operationID, "version", result.GetCatalogVersion(), "refusal", result.GetErrorCode())
	}
	return result, err
}

// History returns the accepted changes, oldest first.
func (m *Member) History() []Change {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return append([]Change{}, m.machine.history...)
}

// CatalogAt returns the catalog at a version, if that is still covered by the history.
func (m *Member) CatalogAt(version uint64) (catalog.Catalog, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.machine.CatalogAt(version)
}

// Members returns the control members as known to the leader, or as known to this member if the leader doesn't
// respond.
func (m *Member) Members(ctx context.Context) []MemberInfo {
	if m.leader() {
		return m.replicatedLog.Members()
	}
	reply := m.forwardToLeader(ctx, &wirepb.Frame{Body: &wirepb.Frame_MemberQuery{MemberQuery: &wirepb.MemberQuery{}}})
	var members []MemberInfo
	if json.Unmarshal(reply.GetMemberReply().GetMembers(), &members) != nil {
		return m.replicatedLog.Members()
	}
	return members
}

// HandleMemberQuery replies with the members as known to this member.
func (m *Member) HandleMemberQuery(context.Context) *wirepb.Frame {
	data, err := json.Marshal(m.replicatedLog.Members())
	if err != nil {
		return nil
	}
	return &wirepb.Frame{Body: &wirepb.Frame_MemberReply{MemberReply: &wirepb.MemberReply{Members: data}}}
}

// Dump is the state of a control member, for diagnostics.
type Dump struct {
	// Index is the last applied log entry; Catalog and Fleet are the applied versions.
	Index    uint64
	Catalog  uint64
	Preset   string
	Fleet    uint64
	Claims   int
	Watchers int
	// ProofAgeMS is the time since the start of the last successful quorum proof.
	ProofAgeMS int64
	Leading    bool
	Replicas   []ReplicaDump
	// Plans explains the leader's plan for each model; it is empty on other members.
	Plans []placement.Explanation
	// StoreSlots is the measured number of loads that the weight store can serve at the same time.
	StoreSlots int
}

// ReplicaDump is the state of one replica.
type ReplicaDump struct {
	ID       uint64
	Model    string
	Endpoint string
	State    string
	Fence    uint64
	Reason   string
	// Source and ExpectedMS are the estimate on which the decision to load was based.
	Source     string
	ExpectedMS int64
	Attempts   int
}

// Dump returns the member's state for operators, without secrets.
func (m *Member) Dump() Dump {
	// The log must not be called while m.mu is held: it may hold a lock of its own while it applies entries, and
	// applying an entry takes m.mu.
	leading := m.leader()
	plans, slots := m.planner.explain(time.Now())
	m.mu.RLock()
	defer m.mu.RUnlock()
	d := Dump{
		Index: m.machine.index, Catalog: m.machine.catalog.Version, Preset: m.machine.catalog.Preset,
		Fleet: m.machine.fleet.Version(), Claims: m.machine.ledger.Len(), Watchers: len(m.leaseHolders), Replicas: []ReplicaDump{},
		ProofAgeMS: time.Since(m.quorumProof.provenAt).Milliseconds(), Leading: leading, Plans: plans, StoreSlots: slots,
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
