package endpoint

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// MaxPause limits how long a pause that an endpoint asked for lasts, so that a wrong value does not shut it out for good.
	MaxPause = time.Minute
	// noticeRetention is how long notices of an endpoint are kept that is not listed. It may be listed again, by a steward that
	// lags behind or after a restart under the same ID.
	noticeRetention = 5 * time.Minute
	// limitTTL is how long what an endpoint said about its limit overrides the leader, which learns it within a fraction of that.
	limitTTL = 3 * time.Second
	// limitRetention is how long a limit is kept that the leader doesn't show, to be reported to a new leader.
	limitRetention = 30 * time.Second
)

// Use is whether an endpoint may be used for a request, by what it said about itself.
type Use int

// Values of Use.
const (
	// UseNormal means that nothing speaks against the endpoint.
	UseNormal Use = iota
	// UseLimited means that each request needs a turn, since the endpoint named a limit.
	UseLimited
	// UseLast means that the endpoint is leaving and serves only what no other endpoint can.
	UseLast
	// UseNever means that the endpoint must not be sent the request.
	UseNever
)

// Incarnation identifies one run of an endpoint.
type Incarnation struct {
	ID string
	// StartMS is 0 if unknown.
	StartMS int64
}

// Compare orders runs by endpoint and start.
func (i Incarnation) Compare(other Incarnation) int {
	return cmp.Or(cmp.Compare(i.ID, other.ID), cmp.Compare(i.StartMS, other.StartMS))
}

// Notices holds what endpoints said about themselves in their responses to this process: that they are leaving, until when they want no
// requests, and how many a second they take. Lists and other processes don't override it. It isn't safe for concurrent use.
type Notices struct {
	drainTime time.Duration
	byID      map[string]notice
	// pausedUntil is the end of the pause at an address. A pause counts for whichever endpoint is listed there: after an address has been
	// reused, the endpoint that asks for it need not be the one for which the request was meant.
	pausedUntil map[string]time.Time
}

// notice is what one endpoint said; zero times mean nothing.
type notice struct {
	startMS      int64
	leavingSince time.Time
	lastListed   time.Time
	// limit is what the endpoint said at limitHeardAt. Until noTurnUntil, it gets no further request within its limit.
	limit                     Limit
	limitHeardAt, noTurnUntil time.Time
}

// NewNotices returns empty Notices; drainTime is how long a leaving endpoint may still be sent new requests.
func NewNotices(drainTime time.Duration) *Notices {
	return &Notices{drainTime: drainTime, byID: map[string]notice{}, pausedUntil: map[string]time.Time{}}
}

// of returns the notice of an incarnation. A start time becomes known later than the endpoint itself, so only two different known
// ones mean another incarnation.
func (n *Notices) of(i Incarnation) notice {
	known := n.byID[i.ID]
	if known.startMS != 0 && i.StartMS != 0 && known.startMS != i.StartMS {
		return notice{startMS: i.StartMS}
	}
	known.startMS = cmp.Or(known.startMS, i.StartMS)
	return known
}

// RecordLeaving records that an endpoint is leaving and reports whether that is new.
func (n *Notices) RecordLeaving(i Incarnation, now time.Time) bool {
	known := n.of(i)
	if !known.leavingSince.IsZero() {
		return false
	}
	known.leavingSince, known.lastListed = now, now
	n.byID[i.ID] = known
	return true
}

// RecordPause records that the endpoint at an address wants no requests for a time, of which MaxPause counts at most.
func (n *Notices) RecordPause(address string, pause time.Duration, now time.Time) {
	if until := now.Add(min(pause, MaxPause)); until.After(n.pausedUntil[address]) {
		n.pausedUntil[address] = until
	}
}

// RecordLimit records what an endpoint said about its limit in the response to a request sent at the given time, and reports whether that
// is new. A request sent before the endpoint named its limit doesn't show that the limit has ended.
func (n *Notices) RecordLimit(state State, limit Limit, sentAt, now time.Time) bool {
	known := n.of(state.Incarnation())
	if !limit.Named && !state.Limit.Named && !known.limit.Named {
		return false
	}
	if !limit.Named && known.limit.Named && !sentAt.After(known.limitHeardAt) {
		return false
	}
	changed := known.limit != limit || known.limitHeardAt.IsZero()
	known.limit, known.limitHeardAt, known.lastListed = limit, now, now
	n.byID[state.ID] = known
	return changed
}

// LimitOf returns the limit to apply to an endpoint whose state the leader sent. leaderSettled is whether a leader has been known for long
// enough to have heard of all limits.
func (n *Notices) LimitOf(state State, leaderSettled bool, now time.Time) Limit {
	if len(n.byID) == 0 {
		return state.Limit
	}
	known := n.of(state.Incarnation())
	switch {
	case !known.limitHeardAt.IsZero() && now.Sub(known.limitHeardAt) < limitTTL:
		return known.limit
	case state.Limit.Named || leaderSettled:
		return state.Limit
	}
	return known.limit
}

// RecordNoTurn records that an endpoint with a limit gets no further request for a time.
func (n *Notices) RecordNoTurn(i Incarnation, wait time.Duration, now time.Time) {
	known := n.of(i)
	known.noTurnUntil, known.lastListed = now.Add(wait), now
	n.byID[i.ID] = known
}

// NoTurnUntil returns until when an endpoint with a limit gets no further request, or the zero time.
func (n *Notices) NoTurnUntil(i Incarnation) time.Time { return n.of(i).noTurnUntil }

// HeardLimit is what an endpoint said about its limit, and when.
type HeardLimit struct {
	Incarnation
	Limit
	HeardAt time.Time
}

// HeardLimits returns what endpoints said about their limits and the leader doesn't show, sorted by ID.
func (n *Notices) HeardLimits(listed map[string]State) []HeardLimit {
	var heard []HeardLimit
	for id, known := range n.byID {
		if state, ok := listed[id]; ok && !known.limitHeardAt.IsZero() && state.Limit != known.limit {
			heard = append(heard, HeardLimit{Incarnation{ID: id, StartMS: known.startMS}, known.limit, known.limitHeardAt})
		}
	}
	slices.SortFunc(heard, func(a, b HeardLimit) int { return cmp.Compare(a.ID, b.ID) })
	return heard
}

// UseOf returns whether an endpoint may be used now for a request that arrived at the given time.
func (n *Notices) UseOf(state State, arrived, now time.Time) Use {
	if now.Before(n.pausedUntil[state.Address]) {
		return UseNever
	}
	if len(n.byID) == 0 {
		return UseNormal
	}
	known := n.of(state.Incarnation())
	switch {
	case known.leavingSince.IsZero():
		return UseNormal
	case arrived.Sub(known.leavingSince) < n.drainTime:
		return UseLast
	}
	return UseNever
}

// PausedUntil returns the end of the pause at an address, or the zero time.
func (n *Notices) PausedUntil(address string) time.Time { return n.pausedUntil[address] }

// Leaving returns the endpoints that said that they are leaving, sorted by ID.
func (n *Notices) Leaving() []Incarnation {
	var leaving []Incarnation
	for id, known := range n.byID {
		if !known.leavingSince.IsZero() {
			leaving = append(leaving, Incarnation{ID: id, StartMS: known.startMS})
		}
	}
	slices.SortFunc(leaving, func(a, b Incarnation) int { return cmp.Compare(a.ID, b.ID) })
	return leaving
}

// Update drops the pauses that have ended, the other notices of former incarnations, and those of endpoints that have not been listed for
// noticeRetention.
func (n *Notices) Update(listed map[string]State, now time.Time) {
	maps.DeleteFunc(n.pausedUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	for id, known := range n.byID {
		state, ok := listed[id]
		if ok {
			known = n.of(Incarnation{ID: id, StartMS: state.StartMS})
			known.lastListed = now
			n.byID[id] = known
		}
		limited := known.limit.Named && (state.Limit.Named || now.Sub(known.limitHeardAt) < limitRetention) ||
			now.Sub(known.limitHeardAt) < limitTTL || now.Before(known.noTurnUntil)
		idle := known.leavingSince.IsZero() && !limited
		if idle || now.Sub(known.lastListed) > noticeRetention {
			delete(n.byID, id)
		}
	}
}
