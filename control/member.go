package control

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"burdocksaddle/catalog"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

// Member is a control member: the applied state and the data derived from it.
type Member struct {
	log           logr.Logger
	name          string
	pool          *wire.Pool
	replicatedLog Log
	leader        func() bool
	lease         time.Duration

	mu           sync.RWMutex
	machine      *StateMachine
	changeNotify chan struct{}
	planner      *planner
	plannerWake  chan struct{}

	leaseHolders map[string]*leaseHolder
	deltas       deltaCache
	versionState versionState
	quorumProof  quorumProof
}

// MemberOption configures a Member.
type MemberOption func(*Member)

// WithLog sets the logger.
func WithLog(log logr.Logger) MemberOption { return func(m *Member) { m.log = log } }

// WithLease sets how long a node may serve requests after its last contact with the quorum.
func WithLease(length time.Duration) MemberOption { return func(m *Member) { m.lease = length } }

// WithName sets the name of this member.
func WithName(name string) MemberOption { return func(m *Member) { m.name = name } }

// WithPool sets the connection pool for calls to other members.
func WithPool(pool *wire.Pool) MemberOption { return func(m *Member) { m.pool = pool } }

// WithReplicatedLog sets the replicated log; without it the member runs standalone.
func WithReplicatedLog(log Log) MemberOption { return func(m *Member) { m.SetReplicatedLog(log) } }

const defaultLease = 4 * time.Second

// New returns a Member, which runs on a standalone log unless an option sets another one.
func New(options ...MemberOption) *Member {
	m := &Member{
		log: logr.Discard(), name: "self", machine: NewStateMachine(), changeNotify: make(chan struct{}), lease: defaultLease,
		planner: newPlanner(), plannerWake: make(chan struct{}, 1),
		leaseHolders: map[string]*leaseHolder{}, quorumProof: newQuorumProof(),
	}
	m.SetReplicatedLog(m.standaloneLog())
	for _, option := range options {
		option(m)
	}
	return m
}

// SetReplicatedLog sets the replicated log. It must be called before the member serves requests.
func (m *Member) SetReplicatedLog(log Log) {
	m.replicatedLog = log
	m.leader = func() bool {
		_, self := m.replicatedLog.Leader()
		return self
	}
}

// Run runs the member's background tasks until the context is done. The returned channel receives the first error.
func (m *Member) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	plannerEnded, proofEnded := m.RunPlanner(ctx), m.proveLoop(ctx)
	go func() {
		firstErr := <-plannerEnded
		if err := <-proofEnded; firstErr == nil {
			firstErr = err
		}
		ended <- firstErr
	}()
	return ended
}

// apply executes a committed command and notifies watchers and the planner of changes.
func (m *Member) apply(index uint64, command *wirepb.Command) *wirepb.CommandResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.versions()
	result := m.machine.Apply(index, command)
	m.notifyChanges(before)
	return result
}

// versions holds the versions whose changes watchers wait for.
type versions struct{ catalog, fleet, grants uint64 }

func (m *Member) versions() versions {
	return versions{catalog: m.machine.catalog.Version, fleet: m.machine.fleet.Version(), grants: m.machine.fleet.Grants()}
}

// notifyChanges notifies watchers and the planner if any version changed. The caller must hold the lock.
func (m *Member) notifyChanges(before versions) {
	now := m.versions()
	if now.catalog != before.catalog {
		m.versionState.recordApplied(now.catalog, time.Now())
	}
	if now == before {
		return // otherwise a planner whose command changes nothing would wake itself in an endless loop
	}
	close(m.changeNotify)
	m.changeNotify = make(chan struct{})
	m.wakePlanner()
}

// Catalog returns the catalog as applied on this member.
func (m *Member) Catalog() catalog.Catalog {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.machine.catalog
}

func (m *Member) changeSignal() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changeNotify
}

func (m *Member) wakePlanner() {
	select {
	case m.plannerWake <- struct{}{}:
	default:
	}
}

// Handlers returns the handlers for requests of other processes.
func (m *Member) Handlers() wire.Handlers {
	return wire.Handlers{
		Watch: m.HandleWatch, Report: m.forwardReport, Register: m.HandleRegister, Demand: m.forwardDemand,
		Propose: m.HandlePropose, ForceQuery: m.HandleForceQuery, Members: m.HandleMemberQuery,
	}
}
