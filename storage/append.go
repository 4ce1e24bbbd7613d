package storage

import (
	"google.golang.org/protobuf/proto"

	"burdocksaddle/consensus"
	"burdocksaddle/wirepb"
)

// Append makes batches durable with one fsync, in their order; it fails with ErrDead, and then for good.
func (s *Storage) Append(batches ...Batch) error {
	if s.dead != nil {
		return s.dead
	}
	for len(batches) > 0 {
		group := untilInstall(batches)
		batches = batches[len(group):]
		if err := s.appendGroup(group); err != nil {
			return err
		}
	}
	return nil
}

// untilInstall returns the batches before the next one that begins with a snapshot.
func untilInstall(batches []Batch) []Batch {
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
		s.last = install.Index
	}
	var entries []consensus.Entry
	for _, batch := range group {
		if batch.Hard != nil {
			s.hard = *batch.Hard
		}
		entries = overlay(entries, batch.Entries)
	}
	record.Hard, record.Entries = hardToWire(s.hard), consensus.EntriesToWire(entries)
	if len(entries) > 0 {
		s.last = entries[len(entries)-1].Index
	}
	if err := s.writeRecord(record); err != nil {
		return err
	}
	if group[0].Install != nil {
		return s.dropBehindSnapshot()
	}
	if s.size >= s.segmentBytes {
		return s.roll()
	}
	return nil
}

// overlay puts entries over a tail that they replace.
func overlay(entries, next []consensus.Entry) []consensus.Entry {
	for len(entries) > 0 && len(next) > 0 && entries[len(entries)-1].Index >= next[0].Index {
		entries = entries[:len(entries)-1]
	}
	return append(entries, next...)
}

func (s *Storage) writeRecord(record *wirepb.LogRecord) error {
	payload, err := proto.Marshal(record)
	if err != nil {
		return s.fail("encoding", s.name, err)
	}
	data := appendRecord(nil, payload)
	if _, err := s.active.Write(data); err != nil {
		return s.fail("writing", s.name, err)
	}
	if err := s.active.Sync(); err != nil {
		return s.fail("syncing", s.name, err)
	}
	s.syncs++
	s.size += int64(len(data))
	return nil
}

// roll closes the active segment and begins the next one.
func (s *Storage) roll() error {
	if err := s.active.Close(); err != nil {
		return s.fail("closing", s.name, err)
	}
	s.segments = append(s.segments, segment{name: s.name, last: s.last})
	return s.begin()
}

// begin makes a new active segment that opens with the hard state.
func (s *Storage) begin() error {
	s.number++
	s.name, s.size = numbered(segmentPrefix, s.number), 0
	f, err := s.files.Create(s.path(s.name))
	if err != nil {
		return s.fail("creating", s.name, err)
	}
	s.active = f
	if err := s.writeRecord(&wirepb.LogRecord{Hard: hardToWire(s.hard), RestartAfter: s.restartAfter}); err != nil {
		return err
	}
	s.restartAfter = 0
	return s.syncFolder()
}

// SaveSnapshot makes a snapshot of the applied state durable and drops the segments behind it; it fails with ErrDead.
func (s *Storage) SaveSnapshot(snapshot consensus.Snapshot) error {
	if s.dead != nil {
		return s.dead
	}
	if snapshot.Index <= s.snapshot {
		return nil
	}
	if err := s.writeSnapshot(snapshot); err != nil {
		return err
	}
	if err := s.roll(); err != nil {
		return err
	}
	return s.dropBehindSnapshot()
}

func (s *Storage) writeSnapshot(snapshot consensus.Snapshot) error {
	payload, err := proto.Marshal(&wirepb.LogSnapshot{
		Index: snapshot.Index, Term: snapshot.Term, Configuration: snapshot.Configuration.ToWire(), State: snapshot.State,
	})
	if err != nil {
		return s.fail("encoding", "a snapshot", err)
	}
	if err := s.writeWhole(numbered(snapshotPrefix, snapshot.Index), payload); err != nil {
		return err
	}
	s.snapshot = snapshot.Index
	return nil
}

// dropBehindSnapshot removes older snapshots and the closed segments that the last one covers.
func (s *Storage) dropBehindSnapshot() error {
	names, err := s.files.List(s.folder)
	if err != nil {
		return s.fail("listing", s.folder, err)
	}
	for _, name := range names {
		if index, ok := numberOf(snapshotPrefix, name); ok && index < s.snapshot {
			if err := s.files.Remove(s.path(name)); err != nil {
				return s.fail("removing", name, err)
			}
		}
	}
	for len(s.segments) > 0 && s.segments[0].last <= s.snapshot {
		if err := s.files.Remove(s.path(s.segments[0].name)); err != nil {
			return s.fail("removing", s.segments[0].name, err)
		}
		s.segments = s.segments[1:]
		// One after the other, so that no loss of power leaves a gap between segments.
		if err := s.syncFolder(); err != nil {
			return err
		}
	}
	return nil
}

func hardToWire(h consensus.HardState) *wirepb.LogHardState {
	return &wirepb.LogHardState{Term: h.Term, Vote: h.Vote, Commit: h.Commit}
}
