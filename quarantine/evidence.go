package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"burdocksaddle/endpoint"
)

const (
	// AnswerTTL is how long after an answer a crash does not count against the parts of the answered prompt: requests of the
	// same kind run all the time, so that harmless parts are answered soon after a crash, too.
	AnswerTTL = 30 * time.Second
	// Duration is how long a set of parts is quarantined the first time. Each further time lasts twice as long, up to maxDuration.
	Duration    = 10 * time.Minute
	maxDuration = 4 * time.Hour
	// beganCrashes is the number of consecutive crashes for which a part is blamed if it was in a response that had just begun, and
	// otherCrashes the number if it was in any request there.
	beganCrashes = 3
	otherCrashes = 5
	// foreignCrashes is how many crashes without a part outweigh one with it: when endpoints crash for other reasons, some parts are in
	// several crashes by chance.
	foreignCrashes = 3
	// settleTime is how long a part must have been a suspect, so that all gateways can report answers to it.
	settleTime = 400 * time.Millisecond
	// crashTTL and maxCrashes limit the crashes that are kept, maxSuspects the parts and requests that gateways are asked about.
	crashTTL    = time.Hour
	maxCrashes  = 1024
	maxSuspects = 256
)

// Crash is the crash of an endpoint as seen by one request that it had not finished.
type Crash struct {
	Endpoint endpoint.Incarnation
	Service  string
	Request  string
	// Key is the same for requests with the same path, caller and body. It is 0 if the endpoint had sent a part of the response.
	Key uint64
	// Parts are the shared parts of the request's prompt that the reporting gateway had seen no answer to.
	Parts []uint64
	// SentAt is when the endpoint was sent the request, At when it crashed.
	SentAt, At time.Time
	// Began is set if the endpoint had begun a response and sent no event of it.
	Began bool
}

// Evidence is what a leader knows about crashes and answers. It isn't safe for concurrent use.
type Evidence struct {
	// crashes are ordered by when they became known.
	crashes []Crash
	// answeredAt is when a part was last in a request that was answered, suspectSince when a part was first in a crash. Both hold the keys of
	// requests, too.
	answeredAt, suspectSince map[uint64]time.Time
	// activeSince is when this leader first saw each active entry, by its key, requestSince when it first saw each request.
	activeSince  map[string]time.Time
	requestSince map[uint64]time.Time
}

// New returns Evidence without any crash.
func New() *Evidence {
	return &Evidence{
		answeredAt: map[uint64]time.Time{}, suspectSince: map[uint64]time.Time{}, activeSince: map[string]time.Time{}, requestSince: map[uint64]time.Time{},
	}
}

// RecordCrash adds a crash. Gateways report crashes again to a new leader, so a known one is ignored.
func (e *Evidence) RecordCrash(c Crash, now time.Time) {
	if slices.ContainsFunc(e.crashes, func(known Crash) bool { return known.Endpoint == c.Endpoint && known.Request == c.Request }) {
		return
	}
	c.Parts = slices.Compact(slices.Sorted(slices.Values(c.Parts)))
	if len(e.crashes) >= maxCrashes {
		e.crashes = slices.Clone(e.crashes[1:])
	}
	e.crashes = append(e.crashes, c)
	for _, id := range c.suspects() {
		if _, known := e.suspectSince[id]; !known {
			e.suspectSince[id] = now
		}
	}
}

// suspects returns the parts and the key of the request.
func (c Crash) suspects() []uint64 {
	if c.Key == 0 {
		return c.Parts
	}
	return append(slices.Clone(c.Parts), c.Key)
}

// RecordAnswer records that a request with the key, or whose prompt has the part, was answered.
func (e *Evidence) RecordAnswer(id uint64, at time.Time) {
	if at.After(e.answeredAt[id]) {
		e.answeredAt[id] = at
	}
}

// Suspects returns the parts and the keys of requests for which an answer would make a difference, sorted. If there are too many, those in
// the most crashes are preferred.
func (e *Evidence) Suspects(current Table) []uint64 {
	suspects := map[uint64]bool{}
	for _, entry := range current.Entries {
		for _, part := range entry.Parts {
			suspects[part] = true
		}
	}
	for _, r := range current.Requests {
		suspects[r.Key] = true
	}
	var newestFirst []uint64
	crashes := map[uint64]int{}
	for _, c := range slices.Backward(e.crashes) {
		for _, id := range c.suspects() {
			if id != c.Key && !e.counts(c, id) {
				continue
			}
			if crashes[id]++; crashes[id] == 1 {
				newestFirst = append(newestFirst, id)
			}
		}
	}
	slices.SortStableFunc(newestFirst, func(a, b uint64) int { return crashes[b] - crashes[a] })
	for _, id := range newestFirst[:min(len(newestFirst), maxSuspects)] {
		suspects[id] = true
	}
	return slices.Sorted(maps.Keys(suspects))
}

// counts reports whether a crash counts against a part.
func (e *Evidence) counts(c Crash, part uint64) bool {
	return c.At.Sub(e.answeredAt[part]) > AnswerTTL
}

// Next returns the table that follows from the evidence, and whether it differs from the current one.
func (e *Evidence) Next(current Table, now time.Time) (Table, bool) {
	e.prune(now)
	next := e.clearRequests(e.clear(current), now)
	next = e.suspend(next, now)
	for _, key := range e.blamedRequests(next, now) {
		next = next.WithBlamedRequest(key)
	}
	crashes := e.unexplained(next)
	for {
		set := e.blamed(crashes, next, now)
		if set == nil {
			break
		}
		next = next.WithBlamed(set)
		crashes = e.unexplained(next)
	}
	e.trackActive(next, now)
	if next.Revision == current.Revision {
		return current, false
	}
	next.Revision = current.Revision + 1
	return next, true
}

// Idle reports whether no crash is known.
func (e *Evidence) Idle() bool { return len(e.crashes) == 0 }

// prune drops crashes and answers that no longer matter.
func (e *Evidence) prune(now time.Time) {
	e.crashes = slices.DeleteFunc(e.crashes, func(c Crash) bool { return now.Sub(c.At) > crashTTL })
	inCrash := map[uint64]bool{}
	for _, c := range e.crashes {
		for _, id := range c.suspects() {
			inCrash[id] = true
		}
	}
	maps.DeleteFunc(e.suspectSince, func(part uint64, _ time.Time) bool { return !inCrash[part] })
	maps.DeleteFunc(e.answeredAt, func(part uint64, at time.Time) bool { return !inCrash[part] && now.Sub(at) > AnswerTTL })
}

// clear removes the parts that have been answered from the entries.
func (e *Evidence) clear(t Table) Table {
	answered := func(entry Entry, part uint64) bool {
		at, ok := e.answeredAt[part]
		return ok && at.After(e.activeSince[entry.key()].Add(-AnswerTTL))
	}
	if !slices.ContainsFunc(t.Entries, func(entry Entry) bool {
		return slices.ContainsFunc(entry.Parts, func(part uint64) bool { return answered(entry, part) })
	}) {
		return t
	}
	return t.WithCleared(answered)
}

// suspend lets requests through whose quarantine has lasted long enough.
func (e *Evidence) suspend(t Table, now time.Time) Table {
	for _, entry := range t.Entries {
		since, known := e.activeSince[entry.key()]
		if !entry.Active || !known || now.Sub(since) < entry.duration() {
			continue
		}
		t = t.WithSuspended(entry.Parts)
		e.crashes = slices.DeleteFunc(e.crashes, func(c Crash) bool { return entry.in(c.Parts) })
	}
	return t
}

// duration returns how long the entry stays active.
func (e Entry) duration() time.Duration {
	d := Duration
	for range e.Blames - 1 {
		d = min(2*d, maxDuration)
	}
	return d
}

// key identifies the set of parts.
func (e Entry) key() string {
	var key strings.Builder
	for _, part := range e.Parts {
		key.WriteString(strconv.FormatUint(part, 16))
		key.WriteByte(',')
	}
	return key.String()
}

// trackActive remembers since when each entry of the table has been active.
func (e *Evidence) trackActive(t Table, now time.Time) {
	active := map[string]time.Time{}
	for _, entry := range t.Entries {
		since, known := e.activeSince[entry.key()]
		if entry.Active && !known {
			since = now
		}
		if entry.Active {
			active[entry.key()] = since
		}
	}
	e.activeSince = active
	since := map[uint64]time.Time{}
	for _, r := range t.Requests {
		since[r.Key] = cmp.Or(e.requestSince[r.Key], now)
	}
	e.requestSince = since
}

// unexplained returns the crashes of endpoints at which no request with a quarantined set was running.
func (e *Evidence) unexplained(t Table) []Crash {
	explained := map[endpoint.Incarnation]bool{}
	for _, c := range e.crashes {
		if t.Blocks(c.Parts) {
			explained[c.Endpoint] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(e.crashes), func(c Crash) bool { return explained[c.Endpoint] })
}

// blamed returns the set of parts that the crashes speak against most, nil if none is to be quarantined.
func (e *Evidence) blamed(crashes []Crash, t Table, now time.Time) []uint64 {
	byPart := map[uint64][]Crash{}
	for _, c := range crashes {
		for _, part := range c.Parts {
			if e.counts(c, part) {
				byPart[part] = append(byPart[part], c)
			}
		}
	}
	type candidate struct {
		set          []uint64
		began, other int
	}
	var best candidate
	for _, part := range slices.Sorted(maps.Keys(byPart)) {
		c := candidate{set: e.together(byPart[part]), began: consecutive(byPart[part], true), other: consecutive(byPart[part], false)}
		suspended := slices.IndexFunc(t.Entries, func(entry Entry) bool { return !entry.Active && entry.in(c.set) })
		switch {
		case suspended >= 0:
			c.set = t.Entries[suspended].Parts
		case e.sameRequest(byPart[part], t):
			continue
		case now.Sub(e.suspectSince[part]) < settleTime || c.began < beganCrashes && c.other < otherCrashes:
			continue
		default:
			foreign := (foreignTo(byPart[part], crashes) + foreignCrashes - 1) / foreignCrashes
			if c.began-foreign < beganCrashes && c.other-foreign < otherCrashes {
				continue
			}
		}
		if cmp.Or(cmp.Compare(c.began, best.began), cmp.Compare(c.other, best.other)) > 0 {
			best = c
		}
	}
	return best.set
}

// foreignTo returns how many other endpoints of the same service crashed since the first of some crashes.
func foreignTo(some, all []Crash) int {
	first := slices.MinFunc(some, func(a, b Crash) int { return a.At.Compare(b.At) })
	foreign := map[endpoint.Incarnation]bool{}
	for _, c := range all {
		if !c.At.Before(first.At) && c.Service == first.Service {
			foreign[c.Endpoint] = true
		}
	}
	for _, c := range some {
		delete(foreign, c.Endpoint)
	}
	return len(foreign)
}

// together returns the parts that count in each of the crashes, sorted; at most maxParts of them.
func (e *Evidence) together(crashes []Crash) []uint64 {
	var common []uint64
	for _, part := range crashes[0].Parts {
		if !slices.ContainsFunc(crashes, func(c Crash) bool { return !slices.Contains(c.Parts, part) || !e.counts(c, part) }) {
			common = append(common, part)
		}
	}
	return common[:min(len(common), maxParts)]
}

// consecutive returns the length of the longest series of crashes in which each request was sent after the crash before it. Crashes at the
// same time, as of a power loss, count once. If began is set, only crashes count in which a response had begun.
func consecutive(crashes []Crash, began bool) int {
	n, last := 0, time.Time{}
	for _, c := range slices.SortedFunc(slices.Values(crashes), func(a, b Crash) int { return a.At.Compare(b.At) }) {
		if (c.Began || !began) && c.SentAt.After(last) {
			n, last = n+1, c.At
		}
	}
	return n
}
