package storage

import (
	"google.golang.org/protobuf/proto"

	"burdocksaddle/consensus"
	"burdocksaddle/wirepb"
)

// Append makes batches durable in the given order, with one fsync unless a batch installs a snapshot. Once it fails with
// ErrFailed, every later call fails too, until Recover succeeds. A batch must not be appended again once a later one is durable.
func (s *Storage) Append(batches ...Batch) error {
	if s.failure != nil {
		return s.failure
	}
	for len(batches) > 0 {
		group := beforeNextInstall(batches)
		batches = batches[len(group):]
		if err := s.appendGroup(group); err != nil {
			return err
		}
	}
	return nil
}

// beforeNextInstall returns the batches before the next one that installs a snapshot; the first batch is always
// included.
func beforeNextInstall(batches []Batch) []Batch {
	for i := 1; i < len(batches); i++ {
		if batches[i].Install != nil {
			return batches[:i]
		}
	}
	return batches
}

func (s *Storage) appendGroup(group []Batch) error {
	record := &wirepb.LogRecord{}
	if install := group[0].Install; install != nil {
		if err := s.writeSnapshot(*install); err != nil {
			return err
		}
		record.RestartAfter = install.Index
		s.lastIndex = install.Index
	}
	var entries []consensus.Entry
	hard := s.hardState
	for _, batch := range group {
		if batch.Hard != nil {
			hard = *batch.Hard
		}
		entries = replaceTail(entries, batch.Entries)
	}
	record.Hard, record.Entries = hardStateToWire(hard), consensus.EntriesToWire(entries)
	if len(entries) > 0 {
		s.lastIndex = entries[len(entries)-1].Index
	}
	if err := s.writeRecord(record); err != nil {
		return err
	}
	s.hardState = hard // never on disk before the entries that its commit index covers
	if group[0].Install != nil {
		return s.removeCoveredBySnapshot()
	}
	if s.activeSize >= s.segmentBytes {
		return s.rotateSegment()
	}
	return nil
}

// replaceTail appends next to entries after removing the entries that it overwrites.
func replaceTail(entries, next []consensus.Entry) []consensus.Entry {
	for len(entries) > 0 && len(next) > 0 && entries[len(entries)-1].Index >= next[0].Index {
		entries = entries[:len(entries)-1]
	}
	return append(entries, next...)
}

func (s *Storage) writeRecord(record *wirepb.LogRecord) error {
	payload, err := proto.Marshal(record)
	if err != nil {
		return s.fail("encoding", s.activeName, err)
	}
	data := appendRecord(nil, payload)
	if _, err := s.activeFile.Write(data); err != nil {
		return s.fail("writing", s.activeName, err)
	}
	if err := s.activeFile.Sync(); err != nil {
		return s.fail("syncing", s.activeName, err)
	}
	s.syncCount++
	s.activeSize += int64(len(data))
	s.redundant = false
	return nil
}

// rotateSegment closes the active segment and starts the next one.
func (s *Storage) rotateSegment() error {
	if err := s.activeFile.Close(); err != nil {
		return s.fail("closing", s.activeName, err)
	}
	s.closedSegments = append(s.closedSegments, closedSegment{name: s.activeName, lastIndex: s.lastIndex, size: s.activeSize})
	return s.startSegment()
}

// startSegment creates a new active segment whose first record contains the hard state.
func (s *Storage) startSegment() error {
	s.activeNumber++
	s.activeName, s.activeSize = numberedName(segmentPrefix, s.activeNumber), 0
	f, err := s.files.Create(s.path(s.activeName))
	if err != nil {
		return s.fail("creating", s.activeName, err)
	}
	s.activeFile = f
	if err := s.writeRecord(&wirepb.LogRecord{Hard: hardStateToWire(s.hardState), RestartAfter: s.restartAfter}); err != nil {
		return err
	}
	s.redundant = s.restartAfter == 0
	s.restartAfter = 0
	return s.syncDir()
}

// SaveSnapshot makes a snapshot of the applied state durable and removes the segments that it covers; it fails with
// ErrFailed.
func (s *Storage) SaveSnapshot(snapshot consensus.Snapshot) error {
	if s.failure != nil {
		return s.failure
	}
	if snapshot.Index <= s.snapshotIndex {
		return nil
	}
	if err := s.writeSnapshot(snapshot); err != nil {
		return err
	}
	if err := s.rotateSegment(); err != nil {
		return err
	}
	return s.removeCoveredBySnapshot()
}

func (s *Storage) writeSnapshot(snapshot consensus.Snapshot) error {
	payload, err := proto.Marshal(&wirepb.LogSnapshot{
		Index: snapshot.Index, Term: snapshot.Term, Configuration: snapshot.Configuration.ToWire(), State: snapshot.State,
	})
	if err != nil {
		return s.fail("encoding", "a snapshot", err)
	}
	if err := s.writeFileAtomic(numberedName(snapshotPrefix, snapshot.Index), payload); err != nil {
		return err
	}
	s.snapshotIndex, s.snapshotSize = snapshot.Index, int64(headerBytes+len(payload))
	return nil
}

// removeCoveredBySnapshot removes older snapshots and the closed segments that the latest snapshot covers.
func (s *Storage) removeCoveredBySnapshot() error {
	names, err := s.files.List(s.dir)
	if err != nil {
		return s.fail("listing", s.dir, err)
	}
	for _, name := range names {
		if index, ok := parseNumber(snapshotPrefix, name); ok && index < s.snapshotIndex {
			if err := s.files.Remove(s.path(name)); err != nil {
				return s.fail("removing", name, err)
			}
		}
	}
	for len(s.closedSegments) > 0 && s.closedSegments[0].lastIndex <= s.snapshotIndex {
		if err := s.files.Remove(s.path(s.closedSegments[0].name)); err != nil {
			return s.fail("removing", s.closedSegments[0].name, err)
		}
		s.closedSegments = s.closedSegments[1:]
		// Sync after each removal, so that a power loss cannot leave a gap between segments.
		if err := s.syncDir(); err != nil {
			return err
		}
	}
	return nil
}

func hardStateToWire(h consensus.HardState) *wirepb.LogHardState {
	return &wirepb.LogHardState{Term: h.Term, Vote: h.Vote, Commit: h.Commit}
}
