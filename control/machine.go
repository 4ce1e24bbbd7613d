package control

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"burdocksaddle/catalog"
	"burdocksaddle/fleet"
	"burdocksaddle/ledger"
	"burdocksaddle/wirepb"
)

// StateMachine is the replicated state built from the log's commands. Applying a command is deterministic.
type StateMachine struct {
	index      uint64
	catalog    catalog.Catalog
	history    []Change
	fleet      *fleet.Fleet
	ledger     *ledger.Ledger
	operations *resultCache
	proposals  *resultCache
	// nowMS is the latest timestamp of any command, so that time doesn't go back when a new leader's clock is behind.
	nowMS int64
}

const (
	maxOperations      = 10_000
	operationRetention = 24 * time.Hour
	maxProposals       = 10_000
	proposalRetention  = 2 * time.Minute
)

// NewStateMachine returns an empty state machine.
func NewStateMachine() *StateMachine {
	return &StateMachine{
		fleet: fleet.New(), ledger: ledger.New(),
		operations: newResultCache(maxOperations, operationRetention.Milliseconds()),
		proposals:  newResultCache(maxProposals, proposalRetention.Milliseconds()),
	}
}

// Apply executes a committed command and returns its result; a resent proposal gets the first result again.
func (m *StateMachine) Apply(index uint64, command *wirepb.Command) *wirepb.CommandResult {
	m.index = index
	m.nowMS = max(m.nowMS, int64(command.GetAtMs()))
	m.operations.evict(m.nowMS)
	m.proposals.evict(m.nowMS)
	if firstResult, _, known := m.proposals.lookup(command.GetProposal(), 0); known {
		return firstResult
	}
	result := m.execute(command)
	// Results with a stored answer are not cached: the answer may be large, and the ledger holds it already.
	if command.GetProposal() != "" && result.GetClaim().GetAnswer() == nil {
		m.proposals.add(command.GetProposal(), 0, m.nowMS, result)
	}
	return result
}

// notBefore returns a member's time, or the time of the log if that is later.
func (m *StateMachine) notBefore(now time.Time) time.Time {
	if logged := time.UnixMilli(m.nowMS); now.Before(logged) {
		return logged
	}
	return now
}

func (m *StateMachine) execute(command *wirepb.Command) *wirepb.CommandResult {
	result := &wirepb.CommandResult{Index: m.index}
	atMS := m.nowMS
	switch kind := command.GetKind().(type) {
	case *wirepb.Command_CatalogChange:
		return m.applyCatalogChange(kind.CatalogChange, atMS)
	case *wirepb.Command_Register:
		result.Incarnation = m.registerAgent(kind.Register, atMS)
	case *wirepb.Command_Report:
		setRefused(result, m.fleet.Report(inventoryFromReport(kind.Report), atMS))
	case *wirepb.Command_Decide:
		m.applyDecisions(kind.Decide, result, atMS)
	case *wirepb.Command_ClaimOpen:
		m.openClaim(kind.ClaimOpen, result, atMS)
	case *wirepb.Command_ClaimClose:
		m.closeClaim(kind.ClaimClose, result, atMS)
	case *wirepb.Command_EndpointChange:
		m.applyEndpointChange(kind.EndpointChange)
	case *wirepb.Command_PortionGrant:
		m.grantPermits(kind.PortionGrant, atMS)
	}
	result.CatalogVersion = m.catalog.Version
	return result
}

// applyCatalogChange returns the first result for a resent operation, regardless of later changes.
func (m *StateMachine) applyCatalogChange(c *wirepb.CatalogChange, atMS int64) *wirepb.CommandResult {
	operation := c.GetOperator() + "\x00" + c.GetOperationId()
	hash := changeHash(c)
	if firstResult, same, known := m.operations.lookup(operation, hash); known && same {
		return firstResult
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
	} else if next, err := applyChange(m.catalog, c.GetChange()); err != nil {
		result.ErrorCode, result.ErrorDetail = CodeChangeInvalid, err.Error()
	} else {
		m.recordChange(Change{
			Version: next.Version, Operator: c.GetOperator(), OperationID: c.GetOperationId(), AtMS: atMS,
			Preset: next.Preset, Back: catalog.DeltaOf(next, m.catalog),
		})
		m.catalog = next
	}
	result.CatalogVersion = m.catalog.Version
	m.operations.add(operation, hash, atMS, result)
	return result
}

func changeHash(c *wirepb.CatalogChange) uint64 {
	return xxhash.Sum64(c.GetChange()) ^ c.GetBaseVersion()
}

func (m *StateMachine) registerAgent(r *wirepb.Register, atMS int64) uint64 {
	return m.fleet.Register(fleet.Endpoint{
		Name: r.GetEndpoint(), Service: r.GetService(), DataCentre: r.GetDataCentre(), Address: r.GetAddress(),
		Process: r.GetProcess(), MemoryMB: r.GetMemoryMb(), Slots: r.GetSlots(),
	}, m.index, atMS)
}

func (m *StateMachine) applyDecisions(d *wirepb.Decide, result *wirepb.CommandResult, atMS int64) {
	for _, decision := range d.GetDecisions() {
		if decision.GetUnload() > 0 {
			setRefused(result, m.fleet.Unload(decision.GetUnload(), decision.GetReason(), atMS))
			continue
		}
		replica, err := m.fleet.Decide(fleet.Replica{
			Endpoint: decision.GetEndpoint(), Incarnation: decision.GetIncarnation(), Model: decision.GetModel(),
			Version: decision.GetVersion(), MemoryMB: decision.GetMemoryMb(), Reason: decision.GetReason(),
			Role: decision.GetRole(), Source: decision.GetSource(), ExpectedMS: int64(decision.GetExpectedMs()),
		}, int(decision.GetLimit()), atMS)
		setRefused(result, err)
		result.Replicas = append(result.Replicas, replica.ID)
	}
}

func (m *StateMachine) openClaim(c *wirepb.ClaimOpen, result *wirepb.CommandResult, atMS int64) {
	requested := ledger.Claim{
		Caller: c.GetCaller(), Key: c.GetKey(), RequestID: c.GetRequestId(), Attempt: c.GetAttempt(), Service: c.GetService(),
		Endpoint: c.GetEndpoint(), Incarnation: c.GetIncarnation(), BodyHash: c.GetBodyHash(),
	}
	var claim ledger.Claim
	var fresh bool
	var err error
	if c.GetPeek() {
		claim, err = m.ledger.Peek(requested, atMS)
	} else {
		claim, fresh, err = m.ledger.Open(requested, m.index, atMS)
	}
	setRefused(result, err)
	if ledger.IsErrKeyReused(err) {
		result.ErrorCode = CodeKeyReused
	}
	result.Claim = claimView(claim, fresh)
}

func (m *StateMachine) closeClaim(c *wirepb.ClaimClose, result *wirepb.CommandResult, atMS int64) {
	var answer *ledger.Answer
	if a := c.GetAnswer(); a != nil {
		answer = &ledger.Answer{Status: a.GetStatus(), ContentType: a.GetContentType(), Body: a.GetBody()}
	}
	claim, ok, err := m.ledger.Close(c.GetClaim(), outcomeByRun[c.GetRun()], answer, c.GetAnswerOnAgent(), atMS)
	setRefused(result, err)
	if ok {
		result.Claim = claimView(claim, false)
	}
}

func (m *StateMachine) applyEndpointChange(c *wirepb.EndpointChange) {
	if c.GetGone() {
		m.fleet.Remove(c.GetEndpoint(), c.GetIncarnation())
		return
	}
	m.fleet.SetEndpointStatus(c.GetEndpoint(), c.GetIncarnation(), c.GetLeaving(), c.GetSilent())
}

var outcomeByRun = map[wirepb.Run]ledger.Outcome{
	wirepb.Run_RUN_NOT_RUN: ledger.NotRun, wirepb.Run_RUN_RAN: ledger.Ran, wirepb.Run_RUN_UNKNOWN: ledger.Unknown,
}

var runByOutcome = map[ledger.Outcome]wirepb.Run{
	ledger.NotRun: wirepb.Run_RUN_NOT_RUN, ledger.Ran: wirepb.Run_RUN_RAN,
	ledger.Unknown: wirepb.Run_RUN_UNKNOWN, ledger.Open: wirepb.Run_RUN_UNKNOWN,
}

func claimView(c ledger.Claim, fresh bool) *wirepb.ClaimView {
	view := &wirepb.ClaimView{
		Claim: c.ID, Fresh: fresh, RequestId: c.RequestID, Endpoint: c.Endpoint, Incarnation: c.Incarnation,
		Closed: c.Outcome != ledger.Open, Run: runByOutcome[c.Outcome], AnswerOnAgent: c.OnAgent,
	}
	if c.Answer != nil {
		view.Answer = &wirepb.Answer{Status: c.Answer.Status, ContentType: c.Answer.ContentType, Body: c.Answer.Body}
	}
	return view
}
