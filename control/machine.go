package control

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"burdocksaddle/catalog"
	"burdocksaddle/fleet"
	"burdocksaddle/ledger"
	"burdocksaddle/wirepb"
)

// Machine is the state that the log's commands make; applying is deterministic.
type Machine struct {
	index      uint64
	catalog    catalog.Catalog
	history    []Change
	fleet      *fleet.Fleet
	ledger     *ledger.Ledger
	operations *answers
	proposals  *answers
	// nowMS is the latest of the commands' times, so that time never goes back with a new leader's clock.
	nowMS int64
}

const (
	maxOperations = 10_000
	operationKeep = 24 * time.Hour
	maxProposals  = 10_000
	proposalKeep  = 2 * time.Minute
)

// NewMachine makes the empty state.
func NewMachine() *Machine {
	return &Machine{
		fleet: fleet.New(), ledger: ledger.New(),
		operations: newAnswers(maxOperations, operationKeep.Milliseconds()),
		proposals:  newAnswers(maxProposals, proposalKeep.Milliseconds()),
	}
}

// Apply carries one committed command out and returns its result; a resent proposal gets its first one.
func (m *Machine) Apply(index uint64, command *wirepb.Command) *wirepb.CommandResult {
	m.index = index
	m.nowMS = max(m.nowMS, int64(command.GetAtMs()))
	m.operations.forget(m.nowMS)
	m.proposals.forget(m.nowMS)
	if first, _, known := m.proposals.find(command.GetProposal(), 0); known {
		return first
	}
	result := m.carryOut(command)
	// A replayed claim may hold a large answer, which the ledger keeps.
	if command.GetProposal() != "" && result.GetClaim().GetAnswer() == nil {
		m.proposals.keep(command.GetProposal(), 0, m.nowMS, result)
	}
	return result
}

func (m *Machine) carryOut(command *wirepb.Command) *wirepb.CommandResult {
	result := &wirepb.CommandResult{Index: m.index}
	atMS := m.nowMS
	switch kind := command.GetKind().(type) {
	case *wirepb.Command_CatalogChange:
		return m.changeCatalog(kind.CatalogChange, atMS)
	case *wirepb.Command_Register:
		result.Incarnation = m.register(kind.Register, atMS)
	case *wirepb.Command_Report:
		fail(result, m.fleet.Report(inventory(kind.Report), atMS))
	case *wirepb.Command_Decide:
		m.decide(kind.Decide, result, atMS)
	case *wirepb.Command_ClaimOpen:
		m.openClaim(kind.ClaimOpen, result, atMS)
	case *wirepb.Command_ClaimClose:
		m.closeClaim(kind.ClaimClose, result, atMS)
	case *wirepb.Command_EndpointChange:
		m.changeEndpoint(kind.EndpointChange)
	case *wirepb.Command_PortionGrant:
		m.grant(kind.PortionGrant, atMS)
	}
	result.CatalogVersion = m.catalog.Version
	return result
}

// changeCatalog answers a resent operation as the first time, whatever changed since.
func (m *Machine) changeCatalog(c *wirepb.CatalogChange, atMS int64) *wirepb.CommandResult {
	operation := c.GetOperator() + "\x00" + c.GetOperationId()
	hash := changeHash(c)
	if first, same, known := m.operations.find(operation, hash); known && same {
		return first
	} else if known {
		return &wirepb.CommandResult{Index: m.index, CatalogVersion: m.catalog.Version, ErrorCode: CodeOperationReused,
			ErrorDetail: "the operation id " + c.GetOperationId() + " was used for another change"}
	}
	result := &wirepb.CommandResult{Index: m.index}
	if c.GetBaseVersion() != m.catalog.Version {
		result.ErrorCode, result.ErrorDetail = CodeVersionConflict, "the catalog has another version by now"
		if len(m.history) > 0 {
			result.Holder = m.history[len(m.history)-1].Operator
		}
	} else if next, err := changed(m.catalog, c.GetChange()); err != nil {
		result.ErrorCode, result.ErrorDetail = CodeChangeInvalid, err.Error()
	} else {
		m.record(Change{
			Version: next.Version, Operator: c.GetOperator(), OperationID: c.GetOperationId(), AtMS: atMS,
			Preset: next.Preset, Back: catalog.DeltaOf(next, m.catalog),
		})
		m.catalog = next
	}
	result.CatalogVersion = m.catalog.Version
	m.operations.keep(operation, hash, atMS, result)
	return result
}

func changeHash(c *wirepb.CatalogChange) uint64 {
	return xxhash.Sum64(c.GetChange()) ^ c.GetBaseVersion()
}

func (m *Machine) register(r *wirepb.Register, atMS int64) uint64 {
	return m.fleet.Register(fleet.Endpoint{
		Name: r.GetEndpoint(), Service: r.GetService(), DataCentre: r.GetDataCentre(), Address: r.GetAddress(),
		Process: r.GetProcess(), MemoryMB: r.GetMemoryMb(), Slots: r.GetSlots(),
	}, m.index, atMS)
}

func (m *Machine) decide(d *wirepb.Decide, result *wirepb.CommandResult, atMS int64) {
	for _, one := range d.GetDecisions() {
		if one.GetUnload() > 0 {
			fail(result, m.fleet.Unload(one.GetUnload(), one.GetReason(), atMS))
			continue
		}
		replica, err := m.fleet.Decide(fleet.Replica{
			Endpoint: one.GetEndpoint(), Incarnation: one.GetIncarnation(), Model: one.GetModel(),
			Version: one.GetVersion(), MemoryMB: one.GetMemoryMb(), Reason: one.GetReason(),
			Role: one.GetRole(), Source: one.GetSource(), ExpectedMS: int64(one.GetExpectedMs()),
		}, int(one.GetLimit()), atMS)
		fail(result, err)
		result.Replicas = append(result.Replicas, replica.ID)
	}
}

func (m *Machine) openClaim(c *wirepb.ClaimOpen, result *wirepb.CommandResult, atMS int64) {
	asked := ledger.Claim{
		Caller: c.GetCaller(), Key: c.GetKey(), RequestID: c.GetRequestId(), Attempt: c.GetAttempt(), Service: c.GetService(),
		Endpoint: c.GetEndpoint(), Incarnation: c.GetIncarnation(), BodyHash: c.GetBodyHash(),
	}
	var claim ledger.Claim
	var fresh bool
	var err error
	if c.GetPeek() {
		claim, err = m.ledger.Peek(asked, atMS)
	} else {
		claim, fresh, err = m.ledger.Open(asked, m.index, atMS)
	}
	fail(result, err)
	if ledger.IsErrKeyReused(err) {
		result.ErrorCode = CodeKeyReused
	}
	result.Claim = claimView(claim, fresh)
}

func (m *Machine) closeClaim(c *wirepb.ClaimClose, result *wirepb.CommandResult, atMS int64) {
	var answer *ledger.Answer
	if a := c.GetAnswer(); a != nil {
		answer = &ledger.Answer{Status: a.GetStatus(), ContentType: a.GetContentType(), Body: a.GetBody()}
	}
	claim, ok, err := m.ledger.Close(c.GetClaim(), outcomes[c.GetRun()], answer, c.GetAnswerOnAgent(), atMS)
	fail(result, err)
	if ok {
		result.Claim = claimView(claim, false)
	}
}

func (m *Machine) changeEndpoint(c *wirepb.EndpointChange) {
	if c.GetGone() {
		m.fleet.Remove(c.GetEndpoint(), c.GetIncarnation())
		return
	}
	m.fleet.Mark(c.GetEndpoint(), c.GetIncarnation(), c.GetLeaving(), c.GetSilent())
}

var outcomes = map[wirepb.Run]ledger.Outcome{
	wirepb.Run_RUN_NOT_RUN: ledger.NotRun, wirepb.Run_RUN_RAN: ledger.Ran, wirepb.Run_RUN_UNKNOWN: ledger.Unknown,
}

var runs = map[ledger.Outcome]wirepb.Run{
	ledger.NotRun: wirepb.Run_RUN_NOT_RUN, ledger.Ran: wirepb.Run_RUN_RAN,
	ledger.Unknown: wirepb.Run_RUN_UNKNOWN, ledger.Open: wirepb.Run_RUN_UNKNOWN,
}

func claimView(c ledger.Claim, fresh bool) *wirepb.ClaimView {
	view := &wirepb.ClaimView{
		Claim: c.ID, Fresh: fresh, RequestId: c.RequestID, Endpoint: c.Endpoint, Incarnation: c.Incarnation,
		Closed: c.Outcome != ledger.Open, Run: runs[c.Outcome], AnswerOnAgent: c.OnAgent,
	}
	if c.Answer != nil {
		view.Answer = &wirepb.Answer{Status: c.Answer.Status, ContentType: c.Answer.ContentType, Body: c.Answer.Body}
	}
	return view
}
