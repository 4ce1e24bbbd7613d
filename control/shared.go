package control

import (
	"context"
	"encoding/json"
	"time"

	"google.golang.org/protobuf/proto"

	"burdocksaddle/quorum"
	"burdocksaddle/wirepb"
)

// Log is what a Member needs of the replicated log.
type Log struct {
	// Propose commits a command on the leader and returns what applying it gave; it fails as quorum.Log does.
	Propose func(ctx context.Context, command []byte) (any, error)
	// Barrier returns once the member has applied all that was committed at the call.
	Barrier func(ctx context.Context) (uint64, error)
	// Leader returns the leader's address, empty if unknown, and whether it is this member.
	Leader func() (address string, self bool)
	// Members returns voters and learners as this member knows them.
	Members func() []MemberInfo
}

// MemberInfo describes one control member to operators.
type MemberInfo struct {
	Name    string
	Address string
	Leader  bool
	Voter   bool
	// Index is the last log entry that the member is known to hold, Lag how many it lacks.
	Index uint64
	Lag   uint64
	// SilentMS is how long the leader has not heard from the member.
	SilentMS int64 `json:",omitempty"`
}

// Over returns the seam to a member of the replicated log.
func Over(log *quorum.Log) Log {
	return Log{Propose: log.Propose, Barrier: log.ReadBarrier, Leader: log.Leader, Members: func() []MemberInfo {
		var members []MemberInfo
		for _, s := range log.Members() {
			members = append(members, MemberInfo{
				Name: s.Name, Address: s.Address, Leader: s.Leader, Voter: s.Voter,
				Index: s.Match, Lag: s.Lag, SilentMS: s.SilentFor.Milliseconds(),
			})
		}
		return members
	}}
}

// Apply carries one committed entry out, for the replicated log.
func (m *Member) Apply(index uint64, data []byte) any {
	command := &wirepb.Command{}
	if err := proto.Unmarshal(data, command); err != nil {
		m.log.Error(err, "committed entry not readable", "index", index)
		return &wirepb.CommandResult{Index: index, ErrorCode: CodeRefused, ErrorDetail: err.Error()}
	}
	return m.apply(index, command)
}

// Snapshot returns the whole state, for the replicated log.
func (m *Member) Snapshot() ([]byte, error) {
	m.mu.RLock()
	state := m.machine.export()
	m.mu.RUnlock()
	return json.Marshal(state)
}

// Restore replaces the whole state, for the replicated log.
func (m *Member) Restore(_ uint64, state []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.versions()
	if err := m.machine.Restore(state); err != nil {
		return err
	}
	m.deltas = deltas{}
	m.noticed(before)
	return nil
}

// alone is a log of this process only, without a disk.
func (m *Member) alone() Log {
	applied := func() uint64 {
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
		Barrier: func(context.Context) (uint64, error) { return applied(), nil },
		Leader:  func() (string, bool) { return "", true },
		Members: func() []MemberInfo {
			return []MemberInfo{{Name: m.name, Leader: true, Voter: true, Index: applied()}}
		},
	}
}

func (m *Member) applyNext(command *wirepb.Command) *wirepb.CommandResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.versions()
	result := m.machine.Apply(m.machine.index+1, command)
	m.noticed(before)
	return result
}

// encode stamps a command with the leader's clock.
func encode(command *wirepb.Command) ([]byte, error) {
	stamped := proto.Clone(command).(*wirepb.Command)
	stamped.AtMs = uint64(time.Now().UnixMilli())
	return proto.Marshal(stamped)
}
