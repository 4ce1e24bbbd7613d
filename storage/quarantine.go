package storage

import (
	"path/filepath"
	"slices"
	"strings"
)

const quarantineName = "damaged"

// Quarantine moves the files of a member with corrupt data to a subdirectory, replacing the files from an earlier call,
// so that a new member can be created. It fails with ErrLocked or ErrFailed.
func Quarantine(dir string, options ...Option) error {
	s := newStorage(dir, options)
	if err := s.lock(); err != nil {
		return err
	}
	defer s.Close()
	if err := s.clearQuarantine(); err != nil {
		return err
	}
	names, err := s.files.List(s.dir)
	if err != nil {
		return s.fail("listing", s.dir, err)
	}
	// Move the identity first: it must never exist without its log.
	slices.SortFunc(names, func(a, b string) int {
		return strings.Compare(strings.TrimPrefix(a, identityName), strings.TrimPrefix(b, identityName))
	})
	for _, name := range names {
		if !isMemberFile(name) {
			continue
		}
		if err := s.files.Rename(s.path(name), filepath.Join(s.dir, quarantineName, name)); err != nil {
			return s.fail("moving", name, err)
		}
		if err := s.syncDir(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Storage) clearQuarantine() error {
	quarantine := s.path(quarantineName)
	if err := s.files.MakeDir(quarantine); err != nil {
		return s.fail("making", quarantine, err)
	}
	names, err := s.files.List(quarantine)
	if err != nil {
		return s.fail("listing", quarantine, err)
	}
	for _, name := range names {
		if err := s.files.Remove(filepath.Join(quarantine, name)); err != nil {
			return s.fail("removing", name, err)
		}
	}
	return nil
}

// isMemberFile reports whether a file is part of a member's stored state.
func isMemberFile(name string) bool {
	_, isSegment := parseNumber(segmentPrefix, name)
	_, isSnapshot := parseNumber(snapshotPrefix, name)
	return name == identityName || isSegment || isSnapshot
}
