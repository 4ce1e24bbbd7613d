package quota

import (
	"math"
	"time"

	"burdocksaddle/team"
)

const (
	// aheadTime is how much of its use a gateway asks for ahead of requests. It covers RenewInterval and a slow answer, and is below
	// GrantLife, so that little of it expires unused.
	aheadTime = 300 * time.Millisecond
	// minAheadRequests is the number of mean requests that aheadTime must cover for a gateway to ask ahead. Below that, most of what it
	// gets would expire unused, which a small limit cannot afford.
	minAheadRequests = 4
	// useMeanTime is the time constant of the mean use.
	useMeanTime = 2 * time.Second
	// leaseMargin is the lease relative to the mean use, since the use varies.
	leaseMargin = 1.3
	// idleShare is the part of the rate below which a mean use counts as none.
	idleShare = 0.0005
)

// Source tells where the amount of a Charge came from.
type Source int

// Sources of charges.
const (
	SourceGrant Source = iota
	SourceLease
	SourceAllowance
)

var sourceNames = [...]string{"Grant", "Lease", "Allowance"}

// String implements fmt.Stringer.
func (s Source) String() string { return sourceNames[s] }

// Charge is an amount that was taken for a request.
type Charge struct {
	Amount float64
	Source Source
	// Until is when the request must have been sent; later it needs a new charge.
	Until time.Time
	// expires is when the grant ends that it was taken from.
	expires, at time.Time
	// spent is the part that was taken from the allowance.
	spent float64
}

// grant is an amount that the leader lent.
type grant struct {
	amount  float64
	expires time.Time
}

// spending is a part of the allowance that was used.
type spending struct {
	at     time.Time
	amount float64
}

// Wallet is what one gateway has of one team's limit. It is not safe for concurrent use.
type Wallet struct {
	bounds  Bounds
	cap     team.Cap
	created time.Time
	grants  []grant
	// lease is a rate, of leaseLeader and until leaseUntil; leaseUsed is what was used of it since the call at calledAt.
	lease       float64
	leaseLeader string
	leaseUntil  time.Time
	leaseUsed   float64
	// calledAt is when the last call was sent that may have reached a leader.
	calledAt time.Time
	// uncalledAt and unleasedUsed are calledAt and leaseUsed before the last call.
	uncalledAt   time.Time
	unleasedUsed float64
	// spent is what was used of the allowance within the last window.
	spent []spending
	// use is the mean use per second as of usedAt, size the mean amount of a request.
	use, size float64
	usedAt    time.Time
}

// NewWallet returns an empty Wallet. What the process used before it was restarted is not known, so that it has no allowance for one window.
func NewWallet(bounds Bounds, c team.Cap, now time.Time) *Wallet {
	return &Wallet{bounds: bounds, cap: c, created: now, usedAt: now}
}

// SetCap changes the limit. A lease shrinks with the rate.
func (w *Wallet) SetCap(c team.Cap) {
	if c.PerSecond < w.cap.PerSecond {
		w.lease *= c.PerSecond / w.cap.PerSecond
	}
	w.cap = c
}

// Held returns the amount of the grants.
func (w *Wallet) Held(now time.Time) float64 {
	for len(w.grants) > 0 && !now.Before(w.grants[0].expires) {
		w.grants = w.grants[1:]
	}
	held := 0.0
	for _, g := range w.grants {
		held += g.amount
	}
	return held
}

// RecordDemand adds an arrived request to the mean use, whether or not it is admitted.
func (w *Wallet) RecordDemand(amount float64, now time.Time) {
	w.use = w.meanUse(now) + amount/useMeanTime.Seconds()
	w.usedAt = now
	if w.size == 0 {
		w.size = amount
	}
	w.size += (amount - w.size) / 16
}

func (w *Wallet) meanUse(now time.Time) float64 {
	use := w.use * math.Exp(-now.Sub(w.usedAt).Seconds()/useMeanTime.Seconds())
	if use < idleShare*w.cap.PerSecond {
		return 0
	}
	return use
}

// Take charges a request to the grants, the oldest first.
func (w *Wallet) Take(amount float64, now time.Time) (Charge, bool) {
	if w.Held(now) < amount || amount > 0 && len(w.grants) == 0 {
		return Charge{}, false
	}
	charge := Charge{Amount: amount, at: now, Until: now.Add(SendMargin)}
	for left := amount; left > 0 && len(w.grants) > 0; {
		g := &w.grants[0]
		if charge.expires.IsZero() {
			charge.expires = g.expires
		}
		part := min(left, g.amount)
		g.amount -= part
		if left -= part; g.amount <= 0 {
			w.grants = w.grants[1:]
		}
	}
	if charge.expires.After(charge.Until) {
		charge.Until = charge.expires
	}
	return charge, true
}

// TakeAlone charges a request to the lease, and what that lacks to the allowance. It is for a gateway that no leader answers.
func (w *Wallet) TakeAlone(amount float64, gateways int, now time.Time) (Charge, bool) {
	charge := Charge{Amount: amount, Source: SourceLease, at: now, Until: now.Add(SendMargin)}
	leased := 0.0
	if now.Before(w.leaseUntil) {
		leased = min(amount, max(0, w.lease*now.Sub(w.calledAt.Add(GrantLife)).Seconds()-w.leaseUsed))
	}
	if charge.spent = amount - leased; charge.spent > 0 {
		if charge.spent > w.allowanceLeft(gateways, now) {
			return Charge{}, false
		}
		charge.Source = SourceAllowance
		w.spent = append(w.spent, spending{now, charge.spent})
	}
	w.leaseUsed += leased
	return charge, true
}

// allowanceLeft returns what may be used of the allowance now.
func (w *Wallet) allowanceLeft(gateways int, now time.Time) float64 {
	if now.Sub(w.created) <= w.bounds.Window {
		return 0
	}
	left, first := w.bounds.allowance(w.cap.PerSecond, w.cap.Burst, gateways, now.Before(w.leaseUntil)), 0
	for i, s := range w.spent {
		if now.Sub(s.at) > w.bounds.Window+SendMargin {
			first = i + 1
			continue
		}
		left -= s.amount
	}
	w.spent = w.spent[first:]
	return left
}

// Return gives back the charge of a request that no endpoint can have run.
func (w *Wallet) Return(charge Charge, now time.Time) {
	switch {
	case charge.Source == SourceAllowance:
		for i, s := range w.spent {
			if s.at.Equal(charge.at) && s.amount == charge.spent {
				w.spent[i].amount = 0
				return
			}
		}
	case charge.Source == SourceGrant && now.Before(charge.expires):
		w.addGrant(grant{charge.Amount, charge.expires})
	}
}

// addGrant keeps the grants in the order in which they end.
func (w *Wallet) addGrant(added grant) {
	at := len(w.grants)
	for at > 0 && added.expires.Before(w.grants[at-1].expires) {
		at--
	}
	w.grants = append(w.grants[:at:at], append([]grant{added}, w.grants[at:]...)...)
}

// Due reports whether the gateway should call the leader although no request waits.
func (w *Wallet) Due(now time.Time) bool {
	if now.Sub(w.calledAt) < RenewInterval {
		return false
	}
	return w.meanUse(now) > 0 || w.lease > 0 && now.Before(w.leaseUntil)
}

// Call returns what to ask a leader for, besides the waiting requests, in a call that is sent now.
func (w *Wallet) Call(leader string, now time.Time) Ask {
	use := w.meanUse(now)
	ask := Ask{PerSecond: use * leaseMargin}
	if ahead := use * aheadTime.Seconds(); w.size > 0 && ahead >= minAheadRequests*w.size {
		ask.Ahead = max(0, ahead-w.Held(now))
	}
	if !now.Before(w.leaseUntil) {
		w.lease = 0
	}
	if leader != w.leaseLeader {
		// The new leader lends others what it does not know to be leased.
		ask.PerSecond = min(ask.PerSecond, w.lease)
	}
	w.lease = min(w.lease, ask.PerSecond)
	w.uncalledAt, w.unleasedUsed = w.calledAt, w.leaseUsed
	w.calledAt, w.leaseUsed = now, 0
	return ask
}

// Unsent tells that no leader has recorded the last call.
func (w *Wallet) Unsent() { w.calledAt, w.leaseUsed = w.uncalledAt, w.unleasedUsed }

// Apply applies a leader's answer to the call sent at sentAt. granted is the sum of all amounts lent.
func (w *Wallet) Apply(leader string, granted float64, ask Ask, lease Lease, sentAt, now time.Time) {
	if now.Sub(sentAt) >= CallTimeout {
		return
	}
	if granted > 0 {
		w.addGrant(grant{granted, sentAt.Add(GrantLife)})
	}
	switch {
	case lease == LeaseGranted:
		w.lease = ask.PerSecond
	case lease == LeaseDenied || leader != w.leaseLeader:
		w.lease = 0
	}
	w.leaseLeader, w.leaseUntil = leader, sentAt.Add(LeaseLife)
}
