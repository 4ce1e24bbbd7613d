package ledger

import (
	"cmp"
	"maps"
	"slices"
)

// Snapshot is the whole state of a Ledger as plain values, in a fixed order.
type Snapshot struct {
	NowMS  int64
	Claims []Claim
}

// Export returns the whole state.
func (l *Ledger) Export() Snapshot {
	claims := slices.SortedFunc(maps.Values(l.byID), func(a, b Claim) int { return cmp.Compare(a.ID, b.ID) })
	return Snapshot{NowMS: l.nowMS, Claims: claims}
}

// Import makes a Ledger of a state that Export returned.
func Import(s Snapshot) *Ledger {
	l := New()
	l.nowMS = s.NowMS
	for _, claim := range s.Claims {
		l.byID[claim.ID] = claim
		l.byKey[claim.key()] = claim.ID
		l.due = append(l.due, due{id: claim.ID, atMS: claim.ChangedMS + Retention.Milliseconds()})
	}
	slices.SortStableFunc(l.due, func(a, b due) int { return cmp.Compare(a.atMS, b.atMS) })
	return l
}
