package quarantine

import (
	"fmt"
	"slices"
	"strings"

	"burdocksaddle/wirepb"
)

const (
	// maxEntries and maxRequests limit the size of a Table, maxParts that of each of its entries.
	maxEntries  = 64
	maxRequests = 256
	maxParts    = 16
)

// Entry is a set of parts that crashes endpoints where a prompt has all of them. It has more than one part as long as the parts
// have only been seen together.
type Entry struct {
	// Parts are sorted.
	Parts []uint64
	// Blames counts how often the set has been quarantined.
	Blames int
	// Active is set while requests with the set are refused. Otherwise the next crash is enough to refuse them again.
	Active bool
}

// in reports whether all parts of the entry are among the given ones.
func (e Entry) in(parts []uint64) bool {
	for _, part := range e.Parts {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return true
}

// Table is the replicated list of quarantined sets of parts and of quarantined requests. It is immutable.
type Table struct {
	// Revision is incremented by each change. A change applies only to the revision it was computed from.
	Revision uint64
	Entries  []Entry
	Requests []Request
}

// Blocks reports whether requests whose prompts share the given parts must be refused.
func (t Table) Blocks(parts []uint64) bool {
	return slices.ContainsFunc(t.Entries, func(e Entry) bool { return e.Active && e.in(parts) })
}

// BlocksRequest reports whether requests with the key must be refused.
func (t Table) BlocksRequest(key uint64) bool {
	_, found := t.TrialsOf(key)
	return found
}

// WithBlamedRequest returns the next table, in which a request is quarantined. If there are too many, the oldest one of those that were tried
// the least yields.
func (t Table) WithBlamedRequest(key uint64) Table {
	next := t.next()
	if len(next.Requests) >= maxRequests {
		fewest := slices.MinFunc(next.Requests, func(a, b Request) int { return a.Trials - b.Trials })
		oldest := slices.Index(next.Requests, fewest)
		next.Requests = slices.Delete(next.Requests, oldest, oldest+1)
	}
	next.Requests = append(next.Requests, Request{Key: key})
	return next
}

// WithTrial returns the next table, in which a request counts as tried once more.
func (t Table) WithTrial(key uint64) Table {
	next := t.next()
	for i, r := range next.Requests {
		if r.Key == key {
			next.Requests[i].Trials++
		}
	}
	return next
}

// TrialsOf returns how often a quarantined request was tried, and whether it is quarantined.
func (t Table) TrialsOf(key uint64) (trials int, found bool) {
	i := slices.IndexFunc(t.Requests, func(r Request) bool { return r.Key == key })
	if i < 0 {
		return 0, false
	}
	return t.Requests[i].Trials, true
}

// WithoutRequests returns the next table without the requests that isCleared reports as harmless, or the same table if there are none.
func (t Table) WithoutRequests(isCleared func(Request) bool) Table {
	if !slices.ContainsFunc(t.Requests, isCleared) {
		return t
	}
	next := t.next()
	next.Requests = slices.DeleteFunc(next.Requests, isCleared)
	return next
}

// next returns a copy of the table with the next revision.
func (t Table) next() Table {
	return Table{Revision: t.Revision + 1, Entries: slices.Clone(t.Entries), Requests: slices.Clone(t.Requests)}
}

// Active returns the number of active entries.
func (t Table) Active() int {
	n := 0
	for _, e := range t.Entries {
		if e.Active {
			n++
		}
	}
	return n
}

// WithBlamed returns the next table, in which a set of parts is quarantined. Entries that the set makes redundant are removed.
func (t Table) WithBlamed(parts []uint64) Table {
	added := Entry{Parts: parts, Active: true}
	next := Table{Revision: t.Revision + 1, Requests: t.Requests}
	for _, e := range t.Entries {
		if added.in(e.Parts) {
			added.Blames = max(added.Blames, e.Blames)
			continue
		}
		next.Entries = append(next.Entries, e)
	}
	added.Blames++
	if len(next.Entries) >= maxEntries {
		next.Entries = next.Entries[1:]
	}
	next.Entries = append(next.Entries, added)
	return next
}

// WithSuspended returns the next table, in which requests with a set of parts are let through until the next crash.
func (t Table) WithSuspended(parts []uint64) Table {
	next := t.next()
	for i, e := range next.Entries {
		if slices.Equal(e.Parts, parts) {
			next.Entries[i].Active = false
		}
	}
	return next
}

// WithCleared returns the next table without the parts that isCleared reports as harmless. Entries without any other part are removed.
func (t Table) WithCleared(isCleared func(Entry, uint64) bool) Table {
	next := Table{Revision: t.Revision + 1, Requests: t.Requests}
	for _, e := range t.Entries {
		parts := slices.DeleteFunc(slices.Clone(e.Parts), func(part uint64) bool { return isCleared(e, part) })
		if len(parts) > 0 {
			e.Parts = parts
			next.Entries = append(next.Entries, e)
		}
	}
	return next
}

// String returns the entries for logs: each one's parts in hexadecimal, how often it was blamed and whether it is active, and the keys of the
// requests, with the number of trials.
func (t Table) String() string {
	var text []string
	for _, r := range t.Requests {
		text = append(text, fmt.Sprintf("request:%x,%d", r.Key, r.Trials))
	}
	for _, e := range t.Entries {
		text = append(text, fmt.Sprintf("%s%d,%t", e.key(), e.Blames, e.Active))
	}
	return strings.Join(text, " ")
}

// ToWire converts the table to its protobuf message.
func (t Table) ToWire() *wirepb.QuarantineTable {
	message := &wirepb.QuarantineTable{Revision: t.Revision}
	for _, e := range t.Entries {
		message.Entries = append(message.Entries, &wirepb.QuarantineEntry{Parts: e.Parts, Blames: uint32(e.Blames), Active: e.Active})
	}
	for _, r := range t.Requests {
		message.Requests = append(message.Requests, &wirepb.QuarantinedRequest{Key: r.Key, Trials: uint32(r.Trials)})
	}
	return message
}

// FromWire converts a protobuf message to a table.
func FromWire(message *wirepb.QuarantineTable) Table {
	t := Table{Revision: message.GetRevision()}
	for _, e := range message.GetEntries() {
		t.Entries = append(t.Entries, Entry{Parts: e.GetParts(), Blames: int(e.GetBlames()), Active: e.GetActive()})
	}
	for _, r := range message.GetRequests() {
		t.Requests = append(t.Requests, Request{Key: r.GetKey(), Trials: int(r.GetTrials())})
	}
	return t
}
