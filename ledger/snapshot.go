package ledger

import (
	"cmp"
	"maps"
	"slices"
)

// Snapshot is the whole state of a Ledger as plain values, in a fixed order.
type Snapshot struct {
	NowMS  int64
	Change uint64
	Claims []Claim
}

// Export returns the whole state.
func (l *Ledger) Export() Snapshot {
	claims := slices.SortedFunc(maps.Values(l.byID), func(a, b Claim) int { return cmp.Compare(a.ID, b.ID) })
	return Snapshot{NowMS: l.nowMS, Change: l.change, Claims: claims}
}

// Import makes a Ledger of a state that Export returned.
func Import(s Snapshot) *Ledger {
	l := New()
	l.nowMS, l.change = s.NowMS, s.Change
	byChange := slices.SortedFunc(slices.Values(s.Claims), func(a, b Claim) int { return cmp.Compare(a.Change, b.Change) })
	for _, claim := range byChange {
		l.byKey[claim.key()] = claim.ID
		l.hold(claim)
	}
	return l
}
