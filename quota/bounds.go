package quota

import "time"

const (
	// GrantLife is how long a gateway uses a grant, counted from when it sent the request for it.
	GrantLife = 500 * time.Millisecond
	// CallTimeout bounds a gateway's call to the leader. A later answer is discarded.
	CallTimeout = 300 * time.Millisecond
	// SendMargin is how long after it was charged a request may be sent, if its grant ends earlier.
	SendMargin = 100 * time.Millisecond
	// ProofAge is the maximum age of the leader's quorum proof.
	ProofAge = 150 * time.Millisecond
	// LeaseLife is how long a gateway may use its lease after it sent the last call that was answered. An election takes up to 2 s.
	LeaseLife = 2500 * time.Millisecond
	// leaseShare is the part of the rate that all leases of a team may have together. A new leader lends the rest at once.
	leaseShare = 0.9
	// silentAfter is the silence after which the leader counts a gateway's lease as used. The gateway uses it GrantLife after it sent its
	// last call, which arrived at most CallTimeout later.
	silentAfter = GrantLife - CallTimeout
	// RenewInterval is how often a gateway in use calls the leader; below silentAfter, so that its lease isn't counted as used.
	RenewInterval = 150 * time.Millisecond
	// overhang is the use in seconds of the rate that a window may see besides what was lent in it.
	overhang = GrantLife + SendMargin + ProofAge
)

// Bounds are the settings of the rule: in any window, a team may use (rate x Window + burst) x (1 + Overage) + Slack.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Limit returns the amount that a team with this rate and burst may use in a window.
func (b Bounds) Limit(perSecond, burst float64) float64 {
	return (perSecond*b.Window.Seconds()+burst)*(1+b.Overage) + b.Slack
}

// room returns half of what the rule leaves above what can be lent in a window. One half is for gateways without a leader, the other for
// requests that need more than the burst.
func (b Bounds) room(perSecond, burst float64) float64 {
	return max(0, b.Overage*(perSecond*b.Window.Seconds()+burst)+b.Slack-perSecond*overhang.Seconds()) / 2
}

// allowance returns what one gateway may use in a window without a leader. A gateway that has long had no leader may not know the limit in
// force, so that only its part of half of the slack is safe, which does not depend on the limit.
func (b Bounds) allowance(perSecond, burst float64, gateways int, recent bool) float64 {
	if gateways <= 0 {
		return 0
	}
	room := b.room(perSecond, burst)
	if !recent {
		room = min(room, b.Slack/2)
	}
	return room / float64(gateways)
}
