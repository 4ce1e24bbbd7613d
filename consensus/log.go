package consensus

import "slices"

// entryLog holds the entries after a base; the snapshot may stand later than the base.
type entryLog struct {
	baseIndex, baseTerm uint64
	entries             []Entry
	// stable is the last entry known to be on disk, handed the last one given out to be written.
	stable, handed uint64
	committed      uint64
	// given is the last committed entry given out to be applied.
	given uint64
	// configurations in force from an index on, the first at or before the base.
	configurations []configurationAt
}

type configurationAt struct {
	index         uint64
	configuration Configuration
}

func newEntryLog(snapshot Snapshot, entries []Entry) (*entryLog, error) {
	l := &entryLog{
		baseIndex: snapshot.Index, baseTerm: snapshot.Term, committed: snapshot.Index, given: snapshot.Index,
		configurations: []configurationAt{{snapshot.Index, snapshot.Configuration}},
	}
	for _, e := range entries {
		if e.Index != l.last()+1 || e.Term < l.lastTerm() {
			return nil, ErrMalformed{What: "log: entry " + number(e.Index) + " does not follow " + number(l.last())}
		}
		if e.Kind == EntryConfiguration {
			if _, err := unmarshalConfiguration(e.Data); err != nil {
				return nil, err
			}
		}
		l.append(e)
	}
	l.stable, l.handed = l.last(), l.last()
	return l, nil
}

func (l *entryLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of an entry that the log still holds, the base included.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.baseIndex:
		return l.baseTerm, true
	case index < l.baseIndex || index > l.last():
		return 0, false
	}
	return l.at(index).Term, true
}

func (l *entryLog) at(index uint64) Entry { return l.entries[index-l.baseIndex-1] }

func (l *entryLog) matches(index, term uint64) bool {
	own, ok := l.term(index)
	return ok && own == term
}

// upToDate tells whether a candidate's log is at least as far on as this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	return term > l.lastTerm() || term == l.lastTerm() && index >= l.last()
}

func (l *entryLog) append(e Entry) {
	l.entries = append(l.entries, e)
	if e.Kind == EntryConfiguration {
		configuration, err := unmarshalConfiguration(e.Data)
		if err != nil {
			panic(ErrInvariantBroken{Invariant: "entries are well-formed", Index: e.Index, Term: e.Term, Detail: err.Error()})
		}
		l.configurations = append(l.configurations, configurationAt{e.Index, configuration})
	}
}

// truncate drops the entries from an index on; slices that were given out stay whole.
func (l *entryLog) truncate(from uint64) {
	keep := int(from - l.baseIndex - 1)
	l.entries = l.entries[:keep:keep]
	l.stable, l.handed = min(l.stable, from-1), min(l.handed, from-1)
	l.configurations = slices.DeleteFunc(l.configurations, func(c configurationAt) bool { return c.index >= from })
}

// slice returns entries from one index to another, both included, up to a number of bytes but at least one.
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

// compact drops the entries up to an index.
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

// restore replaces everything by a snapshot.
func (l *entryLog) restore(s Snapshot) {
	*l = entryLog{
		baseIndex: s.Index, baseTerm: s.Term, handed: s.Index, committed: s.Index, given: s.Index,
		configurations: []configurationAt{{s.Index, s.Configuration}},
	}
}

// configuration returns the latest configuration, committed or not, and its index.
func (l *entryLog) configuration() configurationAt { return l.configurations[len(l.configurations)-1] }

// configurationAt returns the configuration in force at an index.
func (l *entryLog) configurationAt(index uint64) Configuration {
	found := l.configurations[0].configuration
	for _, c := range l.configurations {
		if c.index <= index {
			found = c.configuration
		}
	}
	return found
}
