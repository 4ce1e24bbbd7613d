package ledger

import (
	"cmp"
	"maps"
	"slices"
)

// Snapshot is the complete state of a Ledger in a deterministic order.
type Snapshot struct {
	NowMS  int64
	Change uint64
	Claims []Claim
}

// Export returns the complete state.
func (l *Ledger) Export() Snapshot {
	claims := slices.SortedFunc(maps.Values(l.byID), func(a, b Claim) int { return cmp.Compare(a.ID, b.ID) })
	return Snapshot{NowMS: l.nowMS, Change: l.lastChange, Claims: claims}
}

// Import returns a Ledger with the state that Export returned.
func Import(s Snapshot) *Ledger {
	l := New()
	l.nowMS, l.lastChange = s.NowMS, s.Change
	byChange := slices.SortedFunc(slices.Values(s.Claims), func(a, b Claim) int { return cmp.Compare(a.Change, b.Change) })
	for _, claim := range byChange {
		l.byKey[claim.key()] = claim.ID
		l.store(claim)
	}
	return l
}
