package ledger

import (
	"cmp"
	"maps"
	"slices"
)

// Snapshot is the whole state of a Ledger as plain values, in a fixed order.
type Snapshot struct {
	Claims []Claim
}

// Export returns the whole state.
func (l *Ledger) Export() Snapshot {
	return Snapshot{Claims: slices.SortedFunc(maps.Values(l.byID), func(a, b Claim) int { return cmp.Compare(a.ID, b.ID) })}
}

// Import makes a Ledger of a state that Export returned.
func Import(s Snapshot) *Ledger {
	l := New()
	for _, claim := range s.Claims {
		l.byID[claim.ID] = claim
		l.byKey[key{claim.Caller, claim.Service, claim.Key}] = claim.ID
	}
	return l
}
