package storage

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"burdocksaddle/consensus"
	"burdocksaddle/wirepb"
)

// load reads the whole folder, cuts a torn tail off the last segment and refuses any other damage.
func (s *Storage) load() (State, error) {
	names, err := s.files.List(s.folder)
	if err != nil {
		return State{}, s.fail("listing", s.folder, err)
	}
	slices.Sort(names)
	var state State
	if state.Identity, err = s.loadIdentity(names); err != nil {
		return State{}, err
	}
	if state.Snapshot, err = s.loadSnapshot(names); err != nil {
		return State{}, err
	}
	s.snapshot, s.last = state.Snapshot.Index, state.Snapshot.Index
	if err := s.loadSegments(names, &state); err != nil {
		return State{}, err
	}
	s.hard = state.Hard
	return state, s.removeTemporary(names)
}

func (s *Storage) loadIdentity(names []string) (Identity, error) {
	if !slices.Contains(names, identityName) {
		for _, name := range names {
			if isOwn(name) {
				return Identity{}, ErrDamaged{File: s.path(identityName), Reason: "it is missing beside " + name}
			}
		}
		return Identity{}, ErrNoIdentity{Folder: s.folder}
	}
	w := &wirepb.LogIdentity{}
	if err := s.readWhole(identityName, w); err != nil {
		return Identity{}, err
	}
	if w.GetId() == 0 {
		return Identity{}, ErrDamaged{File: s.path(identityName), Reason: "it names no member"}
	}
	return Identity{ID: w.GetId(), Name: w.GetName()}, nil
}

// readWhole reads a file of one record.
func (s *Storage) readWhole(name string, into proto.Message) error {
	data, err := s.files.Read(s.path(name))
	if err != nil {
		return s.fail("reading", name, err)
	}
	payload, size, ok := readRecord(data)
	if !ok || size != len(data) {
		return ErrDamaged{File: s.path(name), Reason: "its checksum or length is wrong"}
	}
	if err := proto.Unmarshal(payload, into); err != nil {
		return ErrDamaged{File: s.path(name), Offset: headerBytes, Reason: err.Error()}
	}
	return nil
}

func (s *Storage) loadSnapshot(names []string) (consensus.Snapshot, error) {
	newest, found := "", uint64(0)
	for _, name := range names {
		if index, ok := numberOf(snapshotPrefix, name); ok && index >= found {
			newest, found = name, index
		}
	}
	if newest == "" {
		return consensus.Snapshot{}, nil
	}
	w := &wirepb.LogSnapshot{}
	if err := s.readWhole(newest, w); err != nil {
		return consensus.Snapshot{}, err
	}
	if w.GetIndex() != found {
		return consensus.Snapshot{}, ErrDamaged{File: s.path(newest), Reason: "it holds another snapshot"}
	}
	return consensus.Snapshot{
		Index: w.GetIndex(), Term: w.GetTerm(), Configuration: consensus.ConfigurationFromWire(w.GetConfiguration()),
		State: w.GetState(),
	}, nil
}

func (s *Storage) loadSegments(names []string, state *State) error {
	var segments []string
	for _, name := range names {
		if number, ok := numberOf(segmentPrefix, name); ok {
			segments = append(segments, name)
			s.number = number
		}
	}
	if len(segments) == 0 {
		return ErrDamaged{File: s.path(numbered(segmentPrefix, 1)), Reason: "no segment is there beside the identity"}
	}
	replay := replay{snapshot: state.Snapshot}
	for i, name := range segments {
		if number, _ := numberOf(segmentPrefix, name); i > 0 {
			if before, _ := numberOf(segmentPrefix, segments[i-1]); before+1 != number {
				return ErrDamaged{File: s.path(name), Reason: "the segment before it is missing"}
			}
		}
		cut, err := s.loadSegment(name, i == len(segments)-1, &replay)
		if err != nil {
			return err
		}
		state.CutBytes += cut
		s.segments = append(s.segments, segment{name: name, last: replay.last()})
	}
	state.Hard = replay.hard
	if replay.followsSnapshot() {
		state.Entries = replay.result()
	} else {
		s.restartAfter = state.Snapshot.Index
	}
	s.last = max(s.last, replay.last())
	if state.Hard.Term < state.Snapshot.Term {
		// The snapshot of a later term arrived, but the record behind it did not: no vote left in that term.
		state.Hard = consensus.HardState{Term: state.Snapshot.Term}
	}
	return nil
}

func (s *Storage) loadSegment(name string, last bool, replay *replay) (cut int64, err error) {
	data, err := s.files.Read(s.path(name))
	if err != nil {
		return 0, s.fail("reading", name, err)
	}
	payloads, end, whole, later := splitRecords(data)
	if !whole && (!last || later) {
		return 0, ErrDamaged{File: s.path(name), Offset: int64(end), Reason: "a record's checksum or length is wrong"}
	}
	offset := int64(0)
	for _, payload := range payloads {
		record := &wirepb.LogRecord{}
		if err := proto.Unmarshal(payload, record); err != nil {
			return 0, ErrDamaged{File: s.path(name), Offset: offset, Reason: err.Error()}
		}
		if reason := replay.take(record); reason != "" {
			return 0, ErrDamaged{File: s.path(name), Offset: offset, Reason: reason}
		}
		offset += int64(headerBytes + len(payload))
	}
	if whole {
		return 0, nil
	}
	if err := s.files.Truncate(s.path(name), int64(end)); err != nil {
		return 0, s.fail("truncating", name, err)
	}
	return int64(len(data) - end), nil
}

func (s *Storage) removeTemporary(names []string) error {
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			if err := s.files.Remove(s.path(name)); err != nil {
				return s.fail("removing", name, err)
			}
		}
	}
	return nil
}

// replay rebuilds the log from its records.
type replay struct {
	snapshot consensus.Snapshot
	hard     consensus.HardState
	entries  []consensus.Entry
}

func (r *replay) last() uint64 {
	if len(r.entries) == 0 {
		return r.snapshot.Index
	}
	return r.entries[len(r.entries)-1].Index
}

// take takes one record in; it returns what is wrong with it.
func (r *replay) take(record *wirepb.LogRecord) string {
	if record.GetHard() != nil {
		next := consensus.HardState{
			Term: record.GetHard().GetTerm(), Vote: record.GetHard().GetVote(), Commit: record.GetHard().GetCommit(),
		}
		if next.Term < r.hard.Term {
			return "the term goes back"
		}
		r.hard = next
	}
	if record.GetRestartAfter() > 0 {
		r.entries = nil
	}
	entries, err := consensus.EntriesFromWire(record.GetEntries())
	if err != nil {
		return err.Error()
	}
	for _, e := range entries {
		if len(r.entries) > 0 {
			first, last := r.entries[0].Index, r.last()
			if e.Index > last+1 {
				return "an entry is missing before the next one"
			}
			if e.Index <= last {
				r.entries = r.entries[:max(int(e.Index)-int(first), 0)]
			}
		} else if e.Index > r.snapshot.Index+1 {
			return "the entries behind the snapshot are missing"
		}
		r.entries = append(r.entries, e)
	}
	return ""
}

// followsSnapshot tells whether the log holds the snapshot's last entry or begins behind it; otherwise it is void, since
// a leader's snapshot replaced it.
func (r *replay) followsSnapshot() bool {
	if r.snapshot.Index == 0 || len(r.entries) == 0 || r.entries[0].Index == r.snapshot.Index+1 {
		return true
	}
	at := int(r.snapshot.Index) - int(r.entries[0].Index)
	return at < len(r.entries) && r.entries[at].Term == r.snapshot.Term
}

// result returns the entries behind the snapshot.
func (r *replay) result() []consensus.Entry {
	if len(r.entries) == 0 || r.entries[0].Index > r.snapshot.Index {
		return r.entries
	}
	return slices.Clip(r.entries[r.snapshot.Index-r.entries[0].Index+1:])
}
