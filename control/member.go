package control

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"burdocksaddle/catalog"
	"burdocksaddle/placement"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

// Member is one control member: the applied state and what is derived from it.
type Member struct {
	log      logr.Logger
	proposer func(context.Context, *wirepb.Command) (*wirepb.CommandResult, error)
	leader   func() bool
	policy   placement.Policy
	lease    time.Duration

	mu       sync.RWMutex
	machine  *Machine
	changed  chan struct{}
	demands  map[string]entryDemand
	lastUsed map[string]int64
	watchers map[*watcher]struct{}
	wake     chan struct{}
}

// MemberOption sets one property of a Member.
type MemberOption func(*Member)

// WithLog sets where events are logged.
func WithLog(log logr.Logger) MemberOption { return func(m *Member) { m.log = log } }

// WithLease sets how long a node may serve after it heard from the quorum.
func WithLease(length time.Duration) MemberOption { return func(m *Member) { m.lease = length } }

const defaultLease = 5 * time.Second

// New makes a Member whose log is this process alone.
func New(options ...MemberOption) *Member {
	m := &Member{
		log: logr.Discard(), machine: NewMachine(), changed: make(chan struct{}), lease: defaultLease,
		demands: map[string]entryDemand{}, lastUsed: map[string]int64{},
		watchers: map[*watcher]struct{}{}, wake: make(chan struct{}, 1),
	}
	m.proposer, m.leader = m.commitLocally, func() bool { return true }
	for _, option := range options {
		option(m)
	}
	return m
}

// Propose puts a command into the log and returns its result once it is committed.
func (m *Member) Propose(ctx context.Context, command *wirepb.Command) (*wirepb.CommandResult, error) {
	command.AtMs = uint64(time.Now().UnixMilli())
	return m.proposer(ctx, command)
}

func (m *Member) commitLocally(_ context.Context, command *wirepb.Command) (*wirepb.CommandResult, error) {
	return m.apply(0, command), nil
}

// apply carries a committed command out and wakes whoever waits for changes; index 0 takes the next one.
func (m *Member) apply(index uint64, command *wirepb.Command) *wirepb.CommandResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	if index == 0 {
		index = m.machine.index + 1
	}
	result := m.machine.Apply(index, command)
	close(m.changed)
	m.changed = make(chan struct{})
	m.nudge()
	return result
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
	return wire.Handlers{Watch: m.Watch, Report: m.Report, Register: m.Register, Demand: m.Demand, Propose: m.Forward}
}
