package quota

import (
	"slices"
	"strings"
	"time"

	"burdocksaddle/team"
)

// maxWait limits the wait that a refusal names.
const maxWait = time.Minute

// Ask is what a gateway wants for one team.
type Ask struct {
	// PerSecond is the lease that the gateway wants, and at most the one that it has from an earlier leader in its first call to this one.
	PerSecond float64
	// Ahead is the amount that it wants to have ahead of requests.
	Ahead float64
	// Requests are the amounts of waiting requests, in the order in which they are to be served; each is granted whole or not at all.
	Requests []float64
}

// Answer is the leader's answer to an Ask.
type Answer struct {
	Ahead float64
	Lease Lease
	// Waits has the time until each request can be granted, 0 for those that are.
	Waits []time.Duration
}

// Lease is the leader's answer to a wish for a lease.
type Lease int

// Answers to a wish for a lease.
const (
	// LeaseGranted is the lease that the gateway asked for.
	LeaseGranted Lease = iota
	// LeaseKept is the lower of the lease that it asked for and the one that it has.
	LeaseKept
	// LeaseDenied is none.
	LeaseDenied
)

// Bucket is the leader's token bucket of one team. It is not safe for concurrent use.
type Bucket struct {
	bounds    Bounds
	cap       team.Cap
	level     float64
	since     time.Time
	updatedAt time.Time
	// settledAt is when all leases of an earlier leader have ended, known what gateways with such leases have told.
	settledAt time.Time
	known     float64
	// members are sorted by name, which determines the order of additions, and with it how they are rounded.
	members []*member
}

// member is what the leader knows of one gateway.
type member struct {
	name  string
	at    time.Time
	lease float64
	// last is what the gateway asked for before; requests of a gateway may overtake one another, so the higher of both counts.
	last float64
	// pending is the amount of its requests that were not granted.
	pending float64
}

func (m *member) share() float64 { return max(m.lease, m.last) }

// NewBucket returns the empty bucket of a leader that begins at since.
func NewBucket(bounds Bounds, c team.Cap, since time.Time) *Bucket {
	return &Bucket{bounds: bounds, cap: c, since: since, updatedAt: since, settledAt: since.Add(LeaseLife)}
}

// Level returns the amount in the bucket.
func (b *Bucket) Level(now time.Time) float64 {
	b.advance(now)
	return b.level
}

// SetCap changes the limit; the level is kept, up to the new burst.
func (b *Bucket) SetCap(c team.Cap, now time.Time) {
	b.advance(now)
	b.level = min(b.level, c.Burst)
	b.cap = c
}

// fill returns the rate at which the bucket fills before silent gateways' leases are subtracted.
func (b *Bucket) fill(now time.Time) float64 {
	if now.Before(b.settledAt) {
		return min(b.cap.PerSecond, b.cap.PerSecond*(1-leaseShare)+b.known)
	}
	return b.cap.PerSecond
}

// advance fills the bucket and subtracts the leases that silent gateways may have used since the last call.
func (b *Bucket) advance(now time.Time) {
	from := b.updatedAt
	if !now.After(from) {
		return
	}
	b.updatedAt = now
	filled := b.cap.PerSecond * now.Sub(from).Seconds()
	if unsettled := overlap(from, now, from, b.settledAt); unsettled > 0 {
		filled -= (b.cap.PerSecond - b.fill(from)) * unsettled.Seconds()
	}
	// Truncated before leases are subtracted: they may have been used after the bucket was full.
	b.level = min(b.level+filled, b.cap.Burst)
	for _, m := range b.members {
		b.level -= m.share() * overlap(from, now, m.at.Add(silentAfter), m.at.Add(LeaseLife)).Seconds()
	}
	b.members = slices.DeleteFunc(b.members, func(m *member) bool { return now.Sub(m.at) > LeaseLife })
}

func overlap(from, to, start, end time.Time) time.Duration {
	if start.After(from) {
		from = start
	}
	if end.Before(to) {
		to = end
	}
	return max(0, to.Sub(from))
}

// Take grants what the bucket has room for.
func (b *Bucket) Take(gateway string, ask Ask, now time.Time) Answer {
	b.advance(now)
	asking, isNew := b.member(gateway)
	answer := Answer{Lease: b.lease(asking, isNew, max(ask.PerSecond, 0), now), Waits: make([]time.Duration, len(ask.Requests))}
	queued := 0.0
	for _, m := range b.members {
		if m.name != gateway && now.Sub(m.at) < CallTimeout {
			queued += m.pending
		}
	}
	pending := 0.0
	for i, amount := range ask.Requests {
		if !(amount >= 0) { //nolint:staticcheck // NaN is no amount either
			answer.Waits[i] = maxWait
			continue
		}
		excess := b.excessWait(amount, now)
		if pending == 0 && excess == 0 && b.level >= min(amount, b.cap.Burst) {
			b.level -= amount
			continue
		}
		answer.Waits[i] = max(excess, b.wait(queued+pending+min(amount, b.cap.Burst), now))
		pending += amount
	}
	asking.pending = pending
	if pending == 0 && ask.Ahead > 0 {
		answer.Ahead = max(0, min(ask.Ahead, b.level-queued))
		b.level -= answer.Ahead
	}
	return answer
}

// excessWait returns the time until a request may be granted that needs more than the burst and leaves a negative balance. A new leader
// does not know the balance of the earlier one, so that it grants no such request in its first window.
func (b *Bucket) excessWait(amount float64, now time.Time) time.Duration {
	switch {
	case amount <= b.cap.Burst:
		return 0
	case amount > b.cap.Burst+b.bounds.room(b.cap.PerSecond, b.cap.Burst):
		return maxWait // the rule has no room for such a balance
	}
	return max(0, b.bounds.Window-now.Sub(b.since))
}

// wait returns the time until the bucket has the amount.
func (b *Bucket) wait(amount float64, now time.Time) time.Duration {
	seconds := (amount - b.level) / max(b.fill(now), 1e-9)
	return time.Duration(min(max(seconds, 0.001), maxWait.Seconds()) * float64(time.Second))
}

// member returns what the leader knows of a gateway, and whether that is new.
func (b *Bucket) member(gateway string) (m *member, isNew bool) {
	at, known := slices.BinarySearchFunc(b.members, gateway, func(m *member, name string) int { return strings.Compare(m.name, name) })
	if !known {
		b.members = slices.Insert(b.members, at, &member{name: gateway})
	}
	return b.members[at], !known
}

// lease records a gateway's call and decides about its lease.
func (b *Bucket) lease(m *member, isNew bool, perSecond float64, now time.Time) Lease {
	if isNew && now.Before(b.settledAt) {
		// The gateway has this lease from the earlier leader, and from now on this one counts it.
		m.at, m.lease = now, min(perSecond, max(0, b.cap.PerSecond*leaseShare-b.known))
		b.known += m.lease
		if m.lease < perSecond {
			return LeaseDenied
		}
		return LeaseGranted
	}
	m.at = now
	limit := b.cap.PerSecond * leaseShare
	if now.Before(b.settledAt) {
		limit = min(limit, b.known)
	}
	for _, other := range b.members {
		if other != m {
			limit -= other.share()
		}
	}
	kept := min(m.share(), perSecond)
	if perSecond <= limit {
		m.last, m.lease = m.lease, perSecond
		return LeaseGranted
	}
	// Without this answer the gateway keeps the lease that it has.
	m.last, m.lease = kept, kept
	if kept <= limit {
		return LeaseKept
	}
	return LeaseDenied
}
