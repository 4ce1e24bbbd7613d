package control

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"burdocksaddle/wirepb"
)

const (
	maxLaggards  = 64
	forceTimeout = 300 * time.Millisecond
	waitFirst    = 10 * time.Millisecond
	waitMost     = 100 * time.Millisecond
	// A percent covers clocks that run at different speeds.
	driftPercent = 1
)

// forceTimes says since when versions are applied here and since when members may be counted on.
type forceTimes struct {
	recent []appliedVersion
	// aged is the newest version that was applied longer than a lease ago.
	aged uint64
	// members is the set of members as last seen, countFrom when a lease from any earlier one has run out.
	members   string
	countFrom time.Time
}

type appliedVersion struct {
	version uint64
	at      time.Time
}

func (f *forceTimes) applied(version uint64, now time.Time) {
	f.recent = append(f.recent, appliedVersion{version: version, at: now})
}

// age forgets versions that were applied longer than a lease ago, but the newest of them.
func (f *forceTimes) age(now time.Time, lease time.Duration) uint64 {
	lease += lease * driftPercent / 100
	for len(f.recent) > 0 && now.Sub(f.recent[0].at) > lease {
		f.aged = max(f.aged, f.recent[0].version)
		f.recent = f.recent[1:]
	}
	return f.aged
}

// observe notes a change of the members or of the leader, after which confirmations count only when
// every lease given before has run out.
func (m *Member) observe(now time.Time) {
	_, self := m.shared.Leader()
	seen := []string{}
	for _, member := range m.shared.Members() {
		seen = append(seen, member.Name+"="+member.Address)
	}
	slices.Sort(seen)
	set := strings.Join(seen, ",")
	if self {
		set += " leading"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.force.age(now, m.lease)
	if set != m.force.members {
		if m.force.members != "" || len(seen) > 1 {
			m.force.countFrom = now.Add(m.lease + m.lease*driftPercent/100)
		}
		m.force.members = set
	}
}

// InForce tells how far a version is in force.
type InForce struct {
	Version uint64
	InForce bool
	// Waiting lists live nodes that have not confirmed the version, 64 of them at most.
	Waiting []string
}

// Wait returns once a version is in force everywhere or the context ends.
func (m *Member) Wait(ctx context.Context, version uint64) InForce {
	var suspects []string
	for pause := waitFirst; ; pause = min(2*pause, waitMost) {
		reply := m.forceFromAny(ctx, &wirepb.ForceQuery{Version: version, Everywhere: true, Suspects: suspects})
		if reply.GetInForce() || ctx.Err() != nil {
			return InForce{Version: version, InForce: reply.GetInForce(), Waiting: waiting(reply)}
		}
		suspects = reply.GetLaggards()
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

func waiting(reply *wirepb.ForceReply) []string {
	nodes := []string{}
	for _, laggard := range reply.GetLaggards() {
		node, _, _ := strings.Cut(laggard, "/")
		nodes = append(nodes, node)
	}
	slices.Sort(nodes)
	return slices.Compact(nodes)
}

// forceFromAny asks the leader; age alone is judged here.
func (m *Member) forceFromAny(ctx context.Context, query *wirepb.ForceQuery) *wirepb.ForceReply {
	if m.aged(query.GetVersion()) {
		return &wirepb.ForceReply{InForce: true, Version: query.GetVersion()}
	}
	if m.leader() {
		return m.forceEverywhere(ctx, query)
	}
	reply := m.relay(ctx, &wirepb.Frame{Body: &wirepb.Frame_ForceQuery{ForceQuery: query}}).GetForceReply()
	if reply == nil {
		return &wirepb.ForceReply{Laggards: []string{"leader"}, Error: "the leader did not answer"}
	}
	return reply
}

// aged tells whether a version was applied longer than a lease ago: a member that lacked it then had
// proven the quorum before, so every lease that it gave has run out, and later ones came with the version.
func (m *Member) aged(version uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return version <= m.machine.catalog.Version && m.force.age(time.Now(), m.lease) >= version
}

// Force answers another member, for its own watchers or, as the leader, for all.
func (m *Member) Force(ctx context.Context, query *wirepb.ForceQuery) *wirepb.Frame {
	reply := &wirepb.ForceReply{}
	switch {
	case !query.GetEverywhere():
		reply = m.forceHere(query)
	case m.leader():
		reply = m.forceEverywhere(ctx, query)
	default:
		reply.Error, reply.Laggards = notLeading, []string{"leader"}
	}
	return &wirepb.Frame{Body: &wirepb.Frame_ForceReply{ForceReply: reply}}
}

// forceHere counts this member's own watchers.
func (m *Member) forceHere(query *wirepb.ForceQuery) *wirepb.ForceReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.forgetHolders(now)
	reply := &wirepb.ForceReply{Version: m.machine.catalog.Version}
	for id, h := range m.holders {
		if now.After(h.until) {
			continue
		}
		reply.Live++
		if h.confirmed >= query.GetVersion() {
			continue
		}
		reply.Lagging++
		if len(reply.Laggards) < maxLaggards {
			reply.Laggards = append(reply.Laggards, id)
		}
	}
	for _, id := range query.GetSuspects() {
		if h, ok := m.holders[id]; ok && h.confirmed >= query.GetVersion() {
			reply.Confirmed = append(reply.Confirmed, id)
		}
	}
	slices.Sort(reply.Laggards)
	return reply
}

// forceEverywhere asks every member for its watchers and joins the answers.
func (m *Member) forceEverywhere(ctx context.Context, query *wirepb.ForceQuery) *wirepb.ForceReply {
	m.observe(time.Now())
	if m.aged(query.GetVersion()) {
		return &wirepb.ForceReply{InForce: true, Version: query.GetVersion()}
	}
	own := &wirepb.ForceQuery{Version: query.GetVersion(), Suspects: query.GetSuspects()}
	replies := m.askAll(ctx, own)
	m.observe(time.Now())
	joined := join(query.GetVersion(), replies)
	if !m.counts(time.Now()) || !m.leader() {
		joined.InForce = false
		joined.Laggards = append(joined.Laggards, "leader")
	}
	return joined
}

func (m *Member) counts(now time.Time) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return now.After(m.force.countFrom)
}

// memberForce is one member's answer, nil if none came.
type memberForce struct {
	name  string
	reply *wirepb.ForceReply
}

func (m *Member) askAll(ctx context.Context, query *wirepb.ForceQuery) []memberForce {
	members := m.shared.Members()
	answers := make(chan memberForce, len(members))
	for _, member := range members {
		go func() {
			if member.Name == m.name {
				answers <- memberForce{name: member.Name, reply: m.forceHere(query)}
				return
			}
			frame := &wirepb.Frame{Body: &wirepb.Frame_ForceQuery{ForceQuery: query}}
			ctx, cancel := context.WithTimeout(ctx, forceTimeout)
			defer cancel()
			reply, err := m.pool.Call(ctx, member.Address, frame, forceTimeout)
			if err != nil {
				m.log.V(1).Info("member not reached", "member", member.Name, "error", err.Error())
			}
			answers <- memberForce{name: member.Name, reply: reply.GetForceReply()}
		}()
	}
	all := make([]memberForce, 0, len(members))
	for range members {
		all = append(all, <-answers)
	}
	return all
}

// join holds a version in force when every member has it and each of their live nodes has confirmed it somewhere.
func join(version uint64, replies []memberForce) *wirepb.ForceReply {
	joined := &wirepb.ForceReply{Version: version, InForce: true}
	lagging, confirmed := map[string]bool{}, map[string]bool{}
	for _, answer := range replies {
		if answer.reply == nil || answer.reply.GetVersion() < version {
			lagging["member "+answer.name] = true
		}
		joined.Live += answer.reply.GetLive()
		// Nodes beyond the bounded list cannot be looked up elsewhere.
		joined.InForce = joined.InForce && answer.reply.GetLagging() <= maxLaggards
		for _, id := range answer.reply.GetLaggards() {
			lagging[id] = true
		}
		for _, id := range answer.reply.GetConfirmed() {
			confirmed[id] = true
		}
	}
	for id := range confirmed {
		delete(lagging, id)
	}
	joined.InForce = joined.InForce && len(lagging) == 0
	joined.Lagging = uint32(len(lagging))
	joined.Laggards = slices.Sorted(maps.Keys(lagging))
	if len(joined.Laggards) > maxLaggards {
		joined.Laggards = joined.Laggards[:maxLaggards]
	}
	return joined
}
