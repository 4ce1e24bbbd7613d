package storage

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"burdocksaddle/consensus"
	"burdocksaddle/wirepb"
)

// load reads the data directory, truncates a torn tail of the last segment and rejects any other corruption. What it returns is durable.
func (s *Storage) load() (State, error) {
	names, err := s.files.List(s.dir)
	if err != nil {
		return State{}, s.fail("listing", s.dir, err)
	}
	slices.Sort(names)
	var state State
	if state.Identity, err = s.loadIdentity(names); err != nil {
		return State{}, err
	}
	if state.Snapshot, err = s.loadSnapshot(names); err != nil {
		return State{}, err
	}
	s.snapshotIndex, s.lastIndex = state.Snapshot.Index, state.Snapshot.Index
	if err := s.loadSegments(names, &state); err != nil {
		return State{}, err
	}
	s.hardState = state.Hard
	if err := s.removeTemporaryFiles(names); err != nil {
		return State{}, err
	}
	return state, s.syncDir()
}

func (s *Storage) loadIdentity(names []string) (Identity, error) {
	if !slices.Contains(names, identityName) {
		for _, name := range names {
			if isMemberFile(name) {
				return Identity{}, ErrCorrupt{File: s.path(identityName), Reason: "file is missing, but found " + name}
			}
		}
		return Identity{}, ErrNoIdentity{Dir: s.dir}
	}
	w := &wirepb.LogIdentity{}
	if err := s.readRecordFile(identityName, w); err != nil {
		return Identity{}, err
	}
	if w.GetId() == 0 {
		return Identity{}, ErrCorrupt{File: s.path(identityName), Reason: "member ID is missing"}
	}
	return Identity{ID: w.GetId(), Name: w.GetName(), FirstStart: w.GetFirstStart()}, nil
}

// readRecordFile reads a file that contains a single record.
func (s *Storage) readRecordFile(name string, into proto.Message) error {
	data, err := s.files.Read(s.path(name))
	if err != nil {
		return s.fail("reading", name, err)
	}
	payload, size, ok := readRecord(data)
	if !ok || size != len(data) {
		return ErrCorrupt{File: s.path(name), Reason: "checksum or length mismatch"}
	}
	if err := proto.Unmarshal(payload, into); err != nil {
		return ErrCorrupt{File: s.path(name), Offset: headerBytes, Reason: err.Error()}
	}
	return nil
}

func (s *Storage) loadSnapshot(names []string) (consensus.Snapshot, error) {
	newest, found := "", uint64(0)
	for _, name := range names {
		if index, ok := parseNumber(snapshotPrefix, name); ok && index >= found {
			newest, found = name, index
		}
	}
	if newest == "" {
		return consensus.Snapshot{}, nil
	}
	w := &wirepb.LogSnapshot{}
	if err := s.readRecordFile(newest, w); err != nil {
		return consensus.Snapshot{}, err
	}
	if w.GetIndex() != found {
		return consensus.Snapshot{}, ErrCorrupt{File: s.path(newest), Reason: "snapshot index does not match the file name"}
	}
	s.snapshotSize = int64(headerBytes + proto.Size(w))
	configuration, err := consensus.ConfigurationFromWire(w.GetConfiguration())
	if err != nil {
		return consensus.Snapshot{}, err
	}
	return consensus.Snapshot{Index: w.GetIndex(), Term: w.GetTerm(), Configuration: configuration, State: w.GetState()}, nil
}

func (s *Storage) loadSegments(names []string, state *State) error {
	var segments []string
	for _, name := range names {
		if number, ok := parseNumber(segmentPrefix, name); ok {
			segments = append(segments, name)
			s.activeNumber = number
		}
	}
	if len(segments) == 0 {
		return ErrCorrupt{File: s.path(numberedName(segmentPrefix, 1)), Reason: "no segment found"}
	}
	replay := logReplay{snapshot: state.Snapshot}
	for i, name := range segments {
		if number, _ := parseNumber(segmentPrefix, name); i > 0 {
			if previous, _ := parseNumber(segmentPrefix, segments[i-1]); previous+1 != number {
				return ErrCorrupt{File: s.path(name), Reason: "previous segment is missing"}
			}
		}
		size, truncated, err := s.loadSegment(name, i == len(segments)-1, &replay)
		if err != nil {
			return err
		}
		state.TruncatedBytes += truncated
		s.closedSegments = append(s.closedSegments, closedSegment{name: name, lastIndex: replay.lastIndex(), size: size})
	}
	state.Hard = replay.hardState
	if replay.continuesSnapshot() {
		state.Entries = replay.entriesAfterSnapshot()
	} else {
		s.restartAfter = state.Snapshot.Index
	}
	s.lastIndex = max(s.lastIndex, replay.lastIndex())
	if state.Hard.Term < state.Snapshot.Term {
		// The process crashed after it wrote a snapshot of a later term but before the record that follows it, so it sent
		// no vote in that term.
		state.Hard = consensus.HardState{Term: state.Snapshot.Term}
	}
	return nil
}

func (s *Storage) loadSegment(name string, last bool, replay *logReplay) (size, truncated int64, err error) {
	data, err := s.files.Read(s.path(name))
	if err != nil {
		return 0, 0, s.fail("reading", name, err)
	}
	payloads, end, complete, laterRecord := splitRecords(data)
	if !complete && (!last || laterRecord) {
		return 0, 0, ErrCorrupt{File: s.path(name), Offset: int64(end), Reason: "record checksum or length mismatch"}
	}
	offset := int64(0)
	for _, payload := range payloads {
		record := &wirepb.LogRecord{}
		if err := proto.Unmarshal(payload, record); err != nil {
			return 0, 0, ErrCorrupt{File: s.path(name), Offset: offset, Reason: err.Error()}
		}
		if reason := replay.apply(record); reason != "" {
			return 0, 0, ErrCorrupt{File: s.path(name), Offset: offset, Reason: reason}
		}
		offset += int64(headerBytes + len(payload))
	}
	if !last {
		return int64(end), 0, nil
	}
	// A process that was killed may have left records that it had written but not synced.
	if err := s.files.Truncate(s.path(name), int64(end)); err != nil {
		return 0, 0, s.fail("syncing", name, err)
	}
	return int64(end), int64(len(data) - end), nil
}

func (s *Storage) removeTemporaryFiles(names []string) error {
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			if err := s.files.Remove(s.path(name)); err != nil {
				return s.fail("removing", name, err)
			}
		}
	}
	return nil
}

// logReplay rebuilds the log from its records.
type logReplay struct {
	snapshot  consensus.Snapshot
	hardState consensus.HardState
	entries   []consensus.Entry
}

func (r *logReplay) lastIndex() uint64 {
	if len(r.entries) == 0 {
		return r.snapshot.Index
	}
	return r.entries[len(r.entries)-1].Index
}

// apply applies one record. It returns what is wrong with the record, or an empty string.
func (r *logReplay) apply(record *wirepb.LogRecord) string {
	if record.GetHard() != nil {
		next := consensus.HardState{
			Term: record.GetHard().GetTerm(), Vote: record.GetHard().GetVote(), Commit: record.GetHard().GetCommit(),
		}
		if next.Term < r.hardState.Term {
			return "term decreases"
		}
		r.hardState = next
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
			first, last := r.entries[0].Index, r.lastIndex()
			if e.Index > last+1 {
				return "gap between entry indexes"
			}
			if e.Index <= last {
				r.entries = r.entries[:max(int(e.Index)-int(first), 0)]
			}
		} else if e.Index > r.snapshot.Index+1 {
			return "entries after the snapshot are missing"
		}
		r.entries = append(r.entries, e)
	}
	return ""
}

// continuesSnapshot reports whether the log contains the snapshot's last entry or starts right after it. Otherwise the
// log is obsolete, because a snapshot from the leader replaced it.
func (r *logReplay) continuesSnapshot() bool {
	if r.snapshot.Index == 0 || len(r.entries) == 0 || r.entries[0].Index == r.snapshot.Index+1 {
		return true
	}
	at := int(r.snapshot.Index) - int(r.entries[0].Index)
	return at < len(r.entries) && r.entries[at].Term == r.snapshot.Term
}

func (r *logReplay) entriesAfterSnapshot() []consensus.Entry {
	if len(r.entries) == 0 || r.entries[0].Index > r.snapshot.Index {
		return r.entries
	}
	return slices.Clip(r.entries[r.snapshot.Index-r.entries[0].Index+1:])
}
