package storage

import "slices"

// Recover makes a storage that has failed usable again: it discards what the failed operation wrote and starts a new segment, so that the
// operation can be repeated. It fails with ErrFailed and can be called again then, or with ErrCorrupt if the data directory is gone.
func (s *Storage) Recover() error {
	if s.failure == nil || s.closed {
		return s.failure
	}
	s.failure = nil
	if err := s.discardUnsynced(); err != nil {
		return err
	}
	return s.startSegment()
}

// discardUnsynced truncates the active segment to its synced records, or removes it if they are not needed, so that repeated failures don't
// leave a file each. A record whose sync has failed must not be read again: the operating system may have dropped it although it still
// returns it.
func (s *Storage) discardUnsynced() error {
	if s.activeFile.Close != nil {
		_ = s.activeFile.Close() // what it may report as lost is discarded
		s.activeFile = File{}
	}
	names, err := s.files.List(s.dir)
	if err != nil {
		return s.fail("listing", s.dir, err)
	}
	if !slices.Contains(names, identityName) {
		s.failure = ErrCorrupt{File: s.path(identityName), Reason: "file is missing"}
		return s.failure
	}
	if err := s.removeTemporaryFiles(names); err != nil {
		return err
	}
	if s.activeName == "" {
		return nil
	}
	remove := s.activeSize == 0 || s.redundant && len(s.closedSegments) > 0
	if created := slices.Contains(names, s.activeName); created && remove {
		err = s.files.Remove(s.path(s.activeName))
	} else if created {
		err = s.files.Truncate(s.path(s.activeName), s.activeSize)
	}
	if err != nil {
		return s.fail("discarding", s.activeName, err)
	}
	// A later segment must not outlast the removal or the name of this one.
	if err := s.syncDir(); err != nil {
		return err
	}
	if remove {
		s.activeNumber--
	} else {
		s.closedSegments = append(s.closedSegments, closedSegment{name: s.activeName, lastIndex: s.lastIndex, size: s.activeSize})
	}
	s.activeName, s.activeSize = "", 0
	return nil
}
