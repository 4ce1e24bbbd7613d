package control

import (
	"context"
	"encoding/json"
	"time"

	"google.golang.org/protobuf/proto"

	"burdocksaddle/quorum"
	"burdocksaddle/wirepb"
)

// Log is the interface of the replicated log that a Member needs.
type Log struct {
	// Propose commits a command on the leader and returns the result of applying it. It fails like quorum.Log.Propose.
	Propose func(ctx context.Context, command []byte) (any, error)
	// Barrier returns once the member has applied all entries that were committed at the time of the call.
	Barrier func(ctx context.Context) (uint64, error)
	// Leader returns the leader's address, which is empty if unknown, and whether this member is the leader.
	Leader func() (address string, self bool)
	// Members returns the voters and learners known to this member.
	Members func() []MemberInfo
}

// MemberInfo describes a control member to operators.
type MemberInfo struct {
	Name    string
	Address string
	Leader  bool
	Voter   bool
	// Index is the last log entry the member is known to have, Lag the number of entries it lacks.
	Index uint64
	Lag   uint64
	// Leaving reports whether the member is about to stop, or has stopped after it said so; only the leader knows.
	Leaving bool `json:",omitempty"`
	// SilentMS is the time since the leader last heard from the member.
	SilentMS int64 `json:",omitempty"`
}

// NewLog adapts a quorum.Log to Log.
func NewLog(log *quorum.Log) Log {
	return Log{Propose: log.Propose, Barrier: log.ReadBarrier, Leader: log.Leader, Members: func() []MemberInfo {
		var members []MemberInfo
		for _, s := range log.Members() {
			members = append(members, MemberInfo{
				Name: s.Name, Address: s.Address, Leader: s.Leader, Voter: s.Voter,
				Index: s.Match, Lag: s.Lag, Leaving: s.Leaving, SilentMS: s.SilentFor.Milliseconds(),
			})
		}
		return members
	}}
}

// Apply executes a committed log entry; it is called by the replicated log.
func (m *Member) Apply(index uint64, data []byte) any {
	command := &wirepb.Command{}
	if err := proto.Unmarshal(data, command); err != nil {
		m.log.Error(err, "failed to decode committed log entry", "index", index)
		return &wirepb.CommandResult{Index: index, ErrorCode: CodeRefused, ErrorDetail: err.Error()}
	}
	return m.apply(index, command)
}

// Snapshot encodes the complete state; it is called by the replicated log.
func (m *Member) Snapshot() ([]byte, error) {
	m.mu.RLock()
	state := m.machine.export()
	m.mu.RUnlock()
	return json.Marshal(state)
}

// Restore replaces the complete state; it is called by the replicated log.
func (m *Member) Restore(_ uint64, state []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.versions()
	if err := m.machine.Restore(state); err != nil {
		return err
	}
	m.deltas = deltaCache{}
	m.notifyChanges(before)
	return nil
}

// standaloneLog returns an in-memory log for a group that consists of this process only.
func (m *Member) standaloneLog() Log {
	appliedIndex := func() uint64 {
		m.mu.RLock()
		defer m.mu.RUnlock()
		return m.machine.index
	}
	return Log{
		Propose: func(_ context.Context, data []byte) (any, error) {
			command := &wirepb.Command{}
			if err := proto.Unmarshal(data, command); err != nil {
				return nil, err
			}
			return m.applyNext(command), nil
		},
		Barrier: func(context.Context) (uint64, error) { return appliedIndex(), nil },
		Leader:  func() (string, bool) { return "", true },
		Members: func() []MemberInfo {
			return []MemberInfo{{Name: m.name, Leader: true, Voter: true, Index: appliedIndex()}}
		},
	}
}

func (m *Member) applyNext(command *wirepb.Command) *wirepb.CommandResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.versions()
	result := m.machine.Apply(m.machine.index+1, command)
	m.notifyChanges(before)
	return result
}

// encodeCommand encodes a command with the leader's current time.
func encodeCommand(command *wirepb.Command) ([]byte, error) {
	stamped := proto.Clone(command).(*wirepb.Command)
	stamped.AtMs = uint64(time.Now().UnixMilli())
	return proto.Marshal(stamped)
}
