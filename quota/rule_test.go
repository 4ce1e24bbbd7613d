package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"burdocksaddle/team"
)

const (
	simStep = 10 * time.Millisecond
	// simApply is how long a table may take to be in force at a gateway that hears from a steward.
	simApply = 2500 * time.Millisecond
)

var simStart = time.Unix(1_000_000, 0)

// simUse is an amount that an endpoint ran.
type simUse struct {
	at     time.Time
	amount float64
}

// simCap is a limit from a time on.
type simCap struct {
	from time.Time
	cap  team.Cap
}

// simTeam is a team with its load and everything that was used.
type simTeam struct {
	caps []simCap
	// load is the demand relative to the rate, size the mean amount of a request.
	load, size float64
	uses       []simUse
}

func (t *simTeam) capAt(now time.Time) team.Cap {
	current := t.caps[0].cap
	for _, c := range t.caps {
		if !now.Before(c.from) {
			current = c.cap
		}
	}
	return current
}

// simFault is a fault of one kind at one or all gateways.
type simFault struct {
	kind       string
	from, to   time.Duration
	gateway    int
	everywhere bool
}

type simLeader struct {
	name string
	// from and to are when it may lend.
	from, to time.Time
	buckets  []*Bucket
}

type simRequest struct {
	at     time.Time
	amount float64
}

// simCharge is a charged request that is sent after a delay.
type simCharge struct {
	charge Charge
	sendAt time.Time
}

type simCall struct {
	leader               *simLeader
	sentAt               time.Time
	arrivesAt, repliesAt time.Time
	lost, replyLost      bool
	recorded, refused    bool
	asks                 []Ask
	answers              []Answer
}

type simGateway struct {
	wallets  []*Wallet
	waiting  [][]simRequest
	charges  [][]simCharge
	call     *simCall
	stray    []*simCall
	failedAt time.Time
	failedOf string
	caps     []team.Cap
	nextCall time.Time
	weight   float64
}

// sim plays gateways and leaders in steps of time.
type sim struct {
	random   *rand.Rand
	bounds   Bounds
	teams    []*simTeam
	gateways []*simGateway
	leaders  []*simLeader
	faults   []simFault
	now      time.Time
	waitTime time.Duration
	sendLate time.Duration
	// arrived and rejected count all requests, arrivedOf and rejectedOf those of each team.
	arrived, rejected     int
	arrivedOf, rejectedOf [4]int
}

func (s *sim) active(kind string, gateway int) bool {
	for _, f := range s.faults {
		if f.kind == kind && (f.everywhere || f.gateway == gateway) && !s.now.Before(simStart.Add(f.from)) && s.now.Before(simStart.Add(f.to)) {
			return true
		}
	}
	return false
}

// leaderOf returns the leader that a gateway sees.
func (s *sim) leaderOf(int) *simLeader {
	var current *simLeader
	for _, l := range s.leaders {
		// Gateways hear of a leader some time after it began, and of its end at once.
		if !s.now.Before(l.from.Add(20*time.Millisecond)) && s.now.Before(l.to) {
			current = l
		}
	}
	return current
}

func (s *sim) newGateway(weight float64) *simGateway {
	g := &simGateway{weight: weight, waiting: make([][]simRequest, len(s.teams)), charges: make([][]simCharge, len(s.teams))}
	for _, t := range s.teams {
		g.caps = append(g.caps, t.capAt(s.now))
		g.wallets = append(g.wallets, NewWallet(s.bounds, t.capAt(s.now), s.now))
	}
	return g
}

func (s *sim) step() {
	s.now = s.now.Add(simStep)
	for i, g := range s.gateways {
		if s.active("kill", i) {
			s.gateways[i] = s.newGateway(g.weight)
			continue
		}
		s.deliver(i, g)
		if s.active("freeze", i) {
			continue
		}
		s.runGateway(i, g)
	}
}

// deliver lets a gateway's calls arrive at their leaders.
func (s *sim) deliver(i int, g *simGateway) {
	calls := g.stray
	if g.call != nil {
		calls = append(slices.Clone(calls), g.call)
	}
	for _, c := range calls {
		if c.lost || c.recorded || c.refused || s.now.Before(c.arrivesAt) {
			continue
		}
		if l := c.leader; s.now.Before(l.from) || !s.now.Before(l.to) {
			c.refused = true // no quorum proof
			continue
		}
		c.recorded = true
		for t, ask := range c.asks {
			c.leader.buckets[t].SetCap(s.teams[t].capAt(s.now), s.now)
			c.answers = append(c.answers, c.leader.buckets[t].Take(fmt.Sprint(i), ask, s.now))
		}
	}
	g.stray = slices.DeleteFunc(g.stray, func(c *simCall) bool { return c.lost || c.recorded || c.refused })
}

func (s *sim) runGateway(i int, g *simGateway) {
	l := s.leaderOf(i)
	s.finishCall(g)
	for t, state := range s.teams {
		w := g.wallets[t]
		if !s.active("cut", i) && state.capAt(s.now) != g.caps[t] && s.random.Float64() < 0.02 {
			g.caps[t] = state.capAt(s.now)
			w.SetCap(g.caps[t])
		}
		s.arrive(g, t)
		alone := l == nil || s.now.Sub(g.failedAt) < time.Second && g.failedOf == l.name
		g.waiting[t] = slices.DeleteFunc(g.waiting[t], func(r simRequest) bool {
			charge, ok := w.Take(r.amount, s.now)
			if !ok && alone {
				charge, ok = w.TakeAlone(r.amount, len(s.gateways), s.now)
			}
			if ok {
				g.charges[t] = append(g.charges[t], simCharge{charge, s.now.Add(time.Duration(s.random.Float64() * float64(s.sendLate)))})
			}
			rejected := !ok && s.now.Sub(r.at) > s.waitTime
			if rejected {
				s.rejected++
				s.rejectedOf[t]++
			}
			return ok || rejected
		})
		g.charges[t] = slices.DeleteFunc(g.charges[t], func(c simCharge) bool {
			switch {
			case s.now.After(c.charge.Until):
				return true // it would need a new charge
			case s.now.Before(c.sendAt):
				return false
			case s.sendLate > 0 && s.random.Float64() < 0.05:
				w.Return(c.charge, s.now)
				return true
			}
			state.uses = append(state.uses, simUse{s.now, c.charge.Amount})
			return true
		})
	}
	s.startCall(i, g, l)
}

// arrive lets requests of a team arrive.
func (s *sim) arrive(g *simGateway, t int) {
	state := s.teams[t]
	expected := state.load * state.capAt(s.now).PerSecond * simStep.Seconds() * g.weight / state.size
	for n := expected; n > 0; n-- {
		if n < 1 && s.random.Float64() >= n {
			break
		}
		r := simRequest{s.now, state.size * (0.5 + s.random.Float64())}
		s.arrived++
		s.arrivedOf[t]++
		g.wallets[t].RecordDemand(r.amount, s.now)
		g.waiting[t] = append(g.waiting[t], r)
	}
}

func (s *sim) finishCall(g *simGateway) {
	c := g.call
	if c == nil {
		return
	}
	late := s.now.Sub(c.sentAt) >= CallTimeout
	switch {
	case late:
		g.failedAt, g.failedOf = s.now, c.leader.name
		g.stray = append(g.stray, c)
	case c.lost || c.replyLost || s.now.Before(c.repliesAt):
		return
	case c.refused:
		g.failedAt, g.failedOf = s.now, c.leader.name
		for _, w := range g.wallets {
			w.Unsent()
		}
	case c.recorded:
		for t, w := range g.wallets {
			granted := c.answers[t].Ahead
			for n, wait := range c.answers[t].Waits {
				if wait == 0 {
					granted += c.asks[t].Requests[n]
				}
			}
			w.Apply(c.leader.name, granted, c.asks[t], c.answers[t].Lease, c.sentAt, s.now)
		}
	default:
		return
	}
	g.call = nil
}

func (s *sim) startCall(i int, g *simGateway, l *simLeader) {
	if l == nil || g.call != nil || s.now.Before(g.nextCall) || g.failedOf == l.name && s.now.Sub(g.failedAt) < time.Second {
		return
	}
	due := false
	for t, w := range g.wallets {
		due = due || w.Due(s.now) || len(g.waiting[t]) > 0
	}
	if !due {
		return
	}
	c := &simCall{leader: l, sentAt: s.now}
	delay := func() time.Duration {
		if s.active("slow", i) {
			return time.Duration(s.random.Float64() * 0.25 * float64(time.Second))
		}
		return time.Duration(1+s.random.IntN(8)) * time.Millisecond
	}
	c.arrivesAt = s.now.Add(delay())
	c.repliesAt = c.arrivesAt.Add(delay())
	c.lost = s.active("cut", i) || s.active("lose", i) && s.random.Float64() < 0.3
	c.replyLost = s.active("mute", i) || s.active("lose", i) && s.random.Float64() < 0.3
	for t, w := range g.wallets {
		ask := w.Call(l.name, s.now)
		for _, r := range g.waiting[t] {
			ask.Requests = append(ask.Requests, r.amount)
		}
		c.asks = append(c.asks, ask)
	}
	g.call, g.nextCall = c, s.now.Add(20*time.Millisecond)
}

// violation returns the first window in which a team used more than the rule allows.
func (s *sim) violation() string {
	for n, t := range s.teams {
		sum, first := 0.0, 0
		for i, u := range t.uses {
			sum += u.amount
			for u.at.Sub(t.uses[first].at) > s.bounds.Window {
				sum -= t.uses[first].amount
				first++
			}
			limit := 0.0
			for k, c := range t.caps {
				// A limit counts for windows that begin before the next one is in force everywhere.
				over := k+1 < len(t.caps) && !u.at.Add(-s.bounds.Window).Before(t.caps[k+1].from.Add(simApply))
				if !over && !c.from.After(u.at) {
					limit = max(limit, s.bounds.Limit(c.cap.PerSecond, c.cap.Burst))
				}
			}
			if sum > limit*(1+1e-9) {
				return fmt.Sprintf("team %d used %.0f of %.0f in the window that ends at %v, caps %+v", n, sum, limit, t.uses[i].at.Sub(simStart), t.caps)
			}
		}
	}
	return ""
}

func (s *sim) addLeader(from, to time.Duration) {
	l := &simLeader{name: fmt.Sprint("leader", len(s.leaders)), from: simStart.Add(from), to: simStart.Add(to)}
	for _, t := range s.teams {
		l.buckets = append(l.buckets, NewBucket(s.bounds, t.capAt(l.from), l.from))
	}
	s.leaders = append(s.leaders, l)
}

var simBounds = Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 7400}

// tightBounds allow hardly more than the overhang, so that other excesses show.
var tightBounds = Bounds{Window: time.Second, Overage: 0.76}

// TestRuleHoldsUnderFaults guards against windows in which all gateways together use more than the rule allows.
func TestRuleHoldsUnderFaults(t *testing.T) {
	const length = 24 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		s := &sim{random: rand.New(rand.NewPCG(seed, 1)), bounds: rapid.SampledFrom([]Bounds{simBounds, tightBounds}).Draw(t, "bounds"), now: simStart, waitTime: 300 * time.Millisecond}
		s.sendLate = time.Duration(rapid.IntRange(0, 700).Draw(t, "sendLateMs")) * time.Millisecond
		for range rapid.IntRange(1, 3).Draw(t, "teams") {
			s.teams = append(s.teams, drawTeam(t))
		}
		gateways := rapid.IntRange(1, 8).Draw(t, "gateways")
		for range gateways {
			s.gateways = append(s.gateways, s.newGateway(2*rapid.Float64Range(0, 1).Draw(t, "weight")/float64(gateways)))
		}
		drawLeaders(t, s, length)
		for range rapid.IntRange(0, 8).Draw(t, "faults") {
			from := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "from")) * time.Millisecond
			s.faults = append(s.faults, simFault{
				kind: rapid.SampledFrom([]string{"cut", "mute", "lose", "slow", "freeze", "kill"}).Draw(t, "kind"),
				from: from, to: from + time.Duration(rapid.IntRange(20, 6000).Draw(t, "lasts"))*time.Millisecond,
				gateway: rapid.IntRange(0, gateways-1).Draw(t, "gateway"), everywhere: rapid.Bool().Draw(t, "everywhere"),
			})
		}
		for s.now.Before(simStart.Add(length)) {
			s.step()
		}
		if v := s.violation(); v != "" {
			t.Fatal(v)
		}
	})
}

func drawTeam(t *rapid.T) *simTeam {
	rate := rapid.SampledFrom([]float64{300, 3000, 30_000, 250_000}).Draw(t, "rate")
	drawn := &simTeam{load: rapid.Float64Range(0.2, 4).Draw(t, "load"), size: rapid.SampledFrom([]float64{200, 1500, 6000}).Draw(t, "size")}
	drawn.size = max(drawn.size, rate/300)
	first := team.Cap{PerSecond: rate, Burst: rate * rapid.SampledFrom([]float64{0, 0.1, 1, 3}).Draw(t, "burst"), CountsTokens: true}
	drawn.caps = []simCap{{simStart, first}}
	if rapid.Bool().Draw(t, "changed") {
		factor := rapid.SampledFrom([]float64{0.1, 0.5, 3}).Draw(t, "factor")
		at := simStart.Add(time.Duration(rapid.IntRange(0, 14_000).Draw(t, "changedAt")) * time.Millisecond)
		drawn.caps = append(drawn.caps, simCap{at, team.Cap{PerSecond: first.PerSecond * factor, Burst: first.Burst * factor, CountsTokens: true}})
	}
	return drawn
}

// drawLeaders draws elections. An old leader may lend for ProofAge after the new one began, since its last proof is that old.
func drawLeaders(t *rapid.T, s *sim, length time.Duration) {
	at := time.Duration(0)
	for at < length {
		lasts := time.Duration(rapid.IntRange(1000, 20_000).Draw(t, "leads")) * time.Millisecond
		s.addLeader(at, at+lasts)
		at += lasts - ProofAge + time.Duration(rapid.IntRange(0, 2000).Draw(t, "elects"))*time.Millisecond
	}
}
