package storage

import (
	"path/filepath"
	"slices"
	"strings"
)

const asideName = "damaged"

// SetAside moves the files of a damaged member into a folder of their own, in place of those that were there, so that a
// new member can be created; it fails with ErrLocked or ErrDead.
func SetAside(folder string, options ...Option) error {
	s := newStorage(folder, options)
	if err := s.lock(); err != nil {
		return err
	}
	defer s.Close()
	if err := s.clearAside(); err != nil {
		return err
	}
	names, err := s.files.List(s.folder)
	if err != nil {
		return s.fail("listing", s.folder, err)
	}
	// The identity goes first: it must never be found without its log.
	slices.SortFunc(names, func(a, b string) int {
		return strings.Compare(strings.TrimPrefix(a, identityName), strings.TrimPrefix(b, identityName))
	})
	for _, name := range names {
		if !isOwn(name) {
			continue
		}
		if err := s.files.Rename(s.path(name), filepath.Join(s.folder, asideName, name)); err != nil {
			return s.fail("moving", name, err)
		}
		if err := s.syncFolder(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Storage) clearAside() error {
	aside := s.path(asideName)
	if err := s.files.MakeFolder(aside); err != nil {
		return s.fail("making", aside, err)
	}
	names, err := s.files.List(aside)
	if err != nil {
		return s.fail("listing", aside, err)
	}
	for _, name := range names {
		if err := s.files.Remove(filepath.Join(aside, name)); err != nil {
			return s.fail("removing", name, err)
		}
	}
	return nil
}

// isOwn tells whether a file holds a part of a member.
func isOwn(name string) bool {
	_, isSegment := numberOf(segmentPrefix, name)
	_, isSnapshot := numberOf(snapshotPrefix, name)
	return name == identityName || isSegment || isSnapshot
}
