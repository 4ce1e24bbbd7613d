package consensus

import "slices"

// entryLog holds the entries after a base index. The index of the snapshot may be greater than the base.
type entryLog struct {
	baseIndex, baseTerm uint64
	entries             []Entry
	// stable is the last entry known to be on disk, issued the last entry handed out for writing.
	stable, issued uint64
	committed      uint64
	// applying is the last committed entry handed out for applying.
	applying uint64
	// configurations holds the configurations by the index from which they are in effect; the first one is at or before
	// the base.
	configurations []indexedConfiguration
}

type indexedConfiguration struct {
	index         uint64
	configuration Configuration
}

func newEntryLog(snapshot Snapshot, entries []Entry) (*entryLog, error) {
	l := &entryLog{
		baseIndex: snapshot.Index, baseTerm: snapshot.Term, committed: snapshot.Index, applying: snapshot.Index,
		configurations: []indexedConfiguration{{snapshot.Index, snapshot.Configuration}},
	}
	for _, e := range entries {
		if e.Index != l.lastIndex()+1 || e.Term < l.lastTerm() {
			return nil, ErrMalformed{What: "log: entry " + formatNumber(e.Index) + " does not follow " + formatNumber(l.lastIndex())}
		}
		if e.Kind == EntryConfiguration {
			if _, err := unmarshalConfiguration(e.Data); err != nil {
				return nil, err
			}
		}
		l.append(e)
	}
	l.stable, l.issued = l.lastIndex(), l.lastIndex()
	return l, nil
}

func (l *entryLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.lastIndex())
	return term
}

// term returns the term of an entry that the log still holds, including the base.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entryAt(index).Term, true
}

func (l *entryLog) entryAt(index uint64) Entry { return l.entries[index-l.baseIndex-1] }

func (l *entryLog) matches(index, term uint64) bool {
	own, ok := l.term(index)
	return ok && own == term
}

// upToDate reports whether a candidate's log is at least as up to date as this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.lastIndex()
}

func (l *entryLog) append(e Entry) {
	l.entries = append(l.entries, e)
	if e.Kind == EntryConfiguration {
		configuration, err := unmarshalConfiguration(e.Data)
		if err != nil {
			panic(ErrInvariantBroken{Invariant: "entries are well-formed", Index: e.Index, Term: e.Term, Detail: err.Error()})
		}
		l.configurations = append(l.configurations, indexedConfiguration{e.Index, configuration})
	}
}

// truncate removes the entries from an index on; slices returned earlier are not modified.
func (l *entryLog) truncate(from uint64) {
	keep := int(from - l.baseIndex - 1)
	l.entries = l.entries[:keep:keep]
	l.stable, l.issued = min(l.stable, from-1), min(l.issued, from-1)
	l.configurations = slices.DeleteFunc(l.configurations, func(c indexedConfiguration) bool { return c.index >= from })
}

// slice returns the entries between two indexes, both inclusive, limited to maxBytes of data but at least one entry.
func (l *entryLog) slice(from, to uint64, maxBytes int) []Entry {
	if from > to {
		return nil
	}
	out := l.entries[from-l.baseIndex-1 : to-l.baseIndex : to-l.baseIndex]
	bytes := 0
	for i, e := range out {
		bytes += len(e.Data)
		if i > 0 && bytes > maxBytes {
			return out[:i:i]
		}
	}
	return out
}

// trailingStart returns the index up to which entries may be discarded so that those left up to the end keep within the limits.
func (l *entryLog) trailingStart(end uint64, limits Limits) uint64 {
	index, bytes := end, 0
	for ; index > l.baseIndex && end-index < limits.TrailingEntries; index-- {
		if bytes += len(l.entryAt(index).Data); bytes > limits.TrailingBytes {
			break
		}
	}
	return index
}

// compact discards the entries up to and including an index.
func (l *entryLog) compact(index uint64) {
	if index <= l.baseIndex {
		return
	}
	l.baseTerm, _ = l.term(index)
	l.entries = slices.Clone(l.entries[index-l.baseIndex:])
	l.baseIndex = index
	for len(l.configurations) > 1 && l.configurations[1].index <= index {
		l.configurations = l.configurations[1:]
	}
}

// restore replaces the log with a snapshot.
func (l *entryLog) restore(s Snapshot) {
	*l = entryLog{
		baseIndex: s.Index, baseTerm: s.Term, issued: s.Index, committed: s.Index, applying: s.Index,
		configurations: []indexedConfiguration{{s.Index, s.Configuration}},
	}
}

// configuration returns the latest configuration, committed or not, and its index.
func (l *entryLog) configuration() indexedConfiguration {
	return l.configurations[len(l.configurations)-1]
}

// configurationAt returns the configuration in effect at an index.
func (l *entryLog) configurationAt(index uint64) Configuration {
	found := l.configurations[0].configuration
	for _, c := range l.configurations {
		if c.index <= index {
			found = c.configuration
		}
	}
	return found
}
