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

// Member is one control member: the applied state and what is derived from it.
type Member struct {
	log    logr.Logger
	name   string
	pool   *wire.Pool
	shared Log
	leader func() bool
	lease  time.Duration

	mu      sync.RWMutex
	machine *Machine
	changed chan struct{}
	planner *planner
	wake    chan struct{}

	holders map[string]*holder
	deltas  deltas
	force   forceTimes
	proof   proof
}

// MemberOption sets one property of a Member.
type MemberOption func(*Member)

// WithLog sets where events are logged.
func WithLog(log logr.Logger) MemberOption { return func(m *Member) { m.log = log } }

// WithLease sets how long a node may serve after it heard from the quorum.
func WithLease(length time.Duration) MemberOption { return func(m *Member) { m.lease = length } }

// WithName sets the member's own name.
func WithName(name string) MemberOption { return func(m *Member) { m.name = name } }

// WithPool sets what reaches the other members.
func WithPool(pool *wire.Pool) MemberOption { return func(m *Member) { m.pool = pool } }

// WithShared puts a replicated log under the member; without it the process is alone.
func WithShared(log Log) MemberOption { return func(m *Member) { m.Share(log) } }

const defaultLease = 4 * time.Second

// New makes a Member whose log is this process alone, unless an option says otherwise.
func New(options ...MemberOption) *Member {
	m := &Member{
		log: logr.Discard(), name: "self", machine: NewMachine(), changed: make(chan struct{}), lease: defaultLease,
		planner: newPlanner(), wake: make(chan struct{}, 1),
		holders: map[string]*holder{}, proof: newProof(),
	}
	m.Share(m.alone())
	for _, option := range options {
		option(m)
	}
	return m
}

// Share sets the replicated log; it is called before the member serves.
func (m *Member) Share(log Log) {
	m.shared = log
	m.leader = func() bool {
		_, self := m.shared.Leader()
		return self
	}
}

// Run carries the member's duties out until the context ends; the channel gives the end.
func (m *Member) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	planned, proved := m.Plan(ctx), m.prove(ctx)
	go func() {
		first := <-planned
		if err := <-proved; first == nil {
			first = err
		}
		ended <- first
	}()
	return ended
}

// apply carries a committed command out and wakes whoever waits for changes.
func (m *Member) apply(index uint64, command *wirepb.Command) *wirepb.CommandResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.versions()
	result := m.machine.Apply(index, command)
	m.noticed(before)
	return result
}

// versions are those that watchers wait for.
type versions struct{ catalog, fleet, grants uint64 }

func (m *Member) versions() versions {
	return versions{catalog: m.machine.catalog.Version, fleet: m.machine.fleet.Version(), grants: m.machine.fleet.Grants()}
}

// noticed wakes whoever waits for changes; the caller holds the lock.
func (m *Member) noticed(before versions) {
	now := m.versions()
	if now.catalog != before.catalog {
		m.force.applied(now.catalog, time.Now())
	}
	if now == before {
		return // or a planner whose command changes nothing would wake itself for ever
	}
	close(m.changed)
	m.changed = make(chan struct{})
	m.nudge()
}

// Catalog returns the applied catalog.
func (m *Member) Catalog() catalog.Catalog {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.machine.catalog
}

func (m *Member) changes() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

func (m *Member) nudge() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Handlers returns what serves other processes' calls.
func (m *Member) Handlers() wire.Handlers {
	return wire.Handlers{
		Watch: m.Watch, Report: m.relayReport, Register: m.Register, Demand: m.relayDemand,
		Propose: m.Forward, Force: m.Force, Members: m.TellMembers,
	}
}
