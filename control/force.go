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
	maxLaggards         = 64
	forceQueryTimeout   = 300 * time.Millisecond
	initialWaitInterval = 10 * time.Millisecond
	maxWaitInterval     = 100 * time.Millisecond
	// Lease periods are extended by this percentage because the clocks of nodes and members may run at different speeds.
	clockDriftPercent = 1
)

// versionState tracks when catalog versions were applied on this member and since when confirmations are valid.
type versionState struct {
	recentVersions []appliedVersion
	// newestAged is the newest version that was applied more than one lease ago.
	newestAged uint64
	// memberSet is the last seen set of members. confirmationsValidFrom is the time at which all leases granted by
	// an earlier set have expired.
	memberSet              string
	confirmationsValidFrom time.Time
}

type appliedVersion struct {
	version   uint64
	appliedAt time.Time
}

func (s *versionState) recordApplied(version uint64, now time.Time) {
	s.recentVersions = append(s.recentVersions, appliedVersion{version: version, appliedAt: now})
}

// pruneRecent removes versions that were applied more than one lease ago and returns the newest of them.
func (s *versionState) pruneRecent(now time.Time, lease time.Duration) uint64 {
	lease += lease * clockDriftPercent / 100
	for len(s.recentVersions) > 0 && now.Sub(s.recentVersions[0].appliedAt) > lease {
		s.newestAged = max(s.newestAged, s.recentVersions[0].version)
		s.recentVersions = s.recentVersions[1:]
	}
	return s.newestAged
}

// trackMembership detects changes of the member set or of this member's leadership. After a change,
// confirmations are valid only once all leases granted before it have expired.
func (m *Member) trackMembership(now time.Time) {
	_, isLeader := m.replicatedLog.Leader()
	memberAddresses := []string{}
	for _, member := range m.replicatedLog.Members() {
		memberAddresses = append(memberAddresses, member.Name+"="+member.Address)
	}
	slices.Sort(memberAddresses)
	memberSet := strings.Join(memberAddresses, ",")
	if isLeader {
		memberSet += " leading"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.versionState.pruneRecent(now, m.lease)
	if memberSet != m.versionState.memberSet {
		if m.versionState.memberSet != "" || len(memberAddresses) > 1 {
			m.versionState.confirmationsValidFrom = now.Add(m.lease + m.lease*clockDriftPercent/100)
		}
		m.versionState.memberSet = memberSet
	}
}

// InForce reports whether a catalog version is in force, that is, whether no node with a valid lease serves an
// older one.
type InForce struct {
	Version uint64
	InForce bool
	// Waiting lists at most 64 live nodes that have not confirmed the version.
	Waiting []string
}

// WaitInForce returns once a version is in force on all nodes or the context is done.
func (m *Member) WaitInForce(ctx context.Context, version uint64) InForce {
	var suspects []string
	for interval := initialWaitInterval; ; interval = min(2*interval, maxWaitInterval) {
		reply := m.queryInForce(ctx, &wirepb.ForceQuery{Version: version, Everywhere: true, Suspects: suspects})
		if reply.GetInForce() || ctx.Err() != nil {
			return InForce{Version: version, InForce: reply.GetInForce(), Waiting: laggingNodes(reply)}
		}
		suspects = reply.GetLaggards()
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

func laggingNodes(reply *wirepb.ForceReply) []string {
	nodes := []string{}
	for _, laggard := range reply.GetLaggards() {
		node, _, _ := strings.Cut(laggard, "/")
		nodes = append(nodes, node)
	}
	slices.Sort(nodes)
	return slices.Compact(nodes)
}

// queryInForce asks the leader whether a version is in force. If the version was applied here more than one
// lease ago, it answers without the leader.
func (m *Member) queryInForce(ctx context.Context, query *wirepb.ForceQuery) *wirepb.ForceReply {
	if m.appliedBeforeLease(query.GetVersion()) {
		return &wirepb.ForceReply{InForce: true, Version: query.GetVersion()}
	}
	if m.leader() {
		return m.queryAllWatchers(ctx, query)
	}
	reply := m.forwardToLeader(ctx, &wirepb.Frame{Body: &wirepb.Frame_ForceQuery{ForceQuery: query}}).GetForceReply()
	if reply == nil {
		return &wirepb.ForceReply{Laggards: []string{"leader"}, Error: "the leader did not answer"}
	}
	return reply
}

// appliedBeforeLease reports whether a version was applied here more than one lease ago. A member that still
// lacked the version at that time had its last quorum proof before then, so all leases based on that proof have
// expired; later leases are granted together with the version.
func (m *Member) appliedBeforeLease(version uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return version <= m.machine.catalog.Version && m.versionState.pruneRecent(time.Now(), m.lease) >= version
}

// HandleForceQuery answers another member's query, either for the watchers of this member only or, on the
// leader, for those of all members.
func (m *Member) HandleForceQuery(ctx context.Context, query *wirepb.ForceQuery) *wirepb.Frame {
	reply := &wirepb.ForceReply{}
	switch {
	case !query.GetEverywhere():
		reply = m.queryOwnWatchers(query)
	case m.leader():
		reply = m.queryAllWatchers(ctx, query)
	default:
		reply.Error, reply.Laggards = notLeaderMessage, []string{"leader"}
	}
	return &wirepb.Frame{Body: &wirepb.Frame_ForceReply{ForceReply: reply}}
}

// queryOwnWatchers counts the watchers of this member that have not confirmed the version.
func (m *Member) queryOwnWatchers(query *wirepb.ForceQuery) *wirepb.ForceReply {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.removeExpiredLeaseHolders(now)
	reply := &wirepb.ForceReply{Version: m.machine.catalog.Version}
	for id, h := range m.leaseHolders {
		if now.After(h.leaseEnd) {
			continue
		}
		reply.Live++
		if h.confirmedVersion >= query.GetVersion() {
			continue
		}
		reply.Lagging++
		if len(reply.Laggards) < maxLaggards {
			reply.Laggards = append(reply.Laggards, id)
		}
	}
	for _, id := range query.GetSuspects() {
		if h, ok := m.leaseHolders[id]; ok && h.confirmedVersion >= query.GetVersion() {
			reply.Confirmed = append(reply.Confirmed, id)
		}
	}
	slices.Sort(reply.Laggards)
	return reply
}

// queryAllWatchers queries all members for their watchers and merges the replies.
func (m *Member) queryAllWatchers(ctx context.Context, query *wirepb.ForceQuery) *wirepb.ForceReply {
	m.trackMembership(time.Now())
	if m.appliedBeforeLease(query.GetVersion()) {
		return &wirepb.ForceReply{InForce: true, Version: query.GetVersion()}
	}
	ownQuery := &wirepb.ForceQuery{Version: query.GetVersion(), Suspects: query.GetSuspects()}
	replies := m.queryMembers(ctx, ownQuery)
	m.trackMembership(time.Now())
	combined := mergeReplies(query.GetVersion(), replies)
	if !m.confirmationsValid(time.Now()) || !m.leader() {
		combined.InForce = false
		combined.Laggards = append(combined.Laggards, "leader")
	}
	return combined
}

func (m *Member) confirmationsValid(now time.Time) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return now.After(m.versionState.confirmationsValidFrom)
}

// memberReply is the reply of one member; reply is nil if the member did not respond.
type memberReply struct {
	name  string
	reply *wirepb.ForceReply
}

func (m *Member) queryMembers(ctx context.Context, query *wirepb.ForceQuery) []memberReply {
	members := m.replicatedLog.Members()
	replyChan := make(chan memberReply, len(members))
	for _, member := range members {
		go func() {
			if member.Name == m.name {
				replyChan <- memberReply{name: member.Name, reply: m.queryOwnWatchers(query)}
				return
			}
			frame := &wirepb.Frame{Body: &wirepb.Frame_ForceQuery{ForceQuery: query}}
			ctx, cancel := context.WithTimeout(ctx, forceQueryTimeout)
			defer cancel()
			reply, err := m.pool.Call(ctx, member.Address, frame, forceQueryTimeout)
			if err != nil {
				m.log.V(1).Info("call to control member failed", "member", member.Name, "error", err.Error())
			}
			replyChan <- memberReply{name: member.Name, reply: reply.GetForceReply()}
		}()
	}
	replies := make([]memberReply, 0, len(members))
	for range members {
		replies = append(replies, <-replyChan)
	}
	return replies
}

// mergeReplies reports a version as in force if every member has applied it and each live node has confirmed it
// to at least one member.
func mergeReplies(version uint64, replies []memberReply) *wirepb.ForceReply {
	combined := &wirepb.ForceReply{Version: version, InForce: true}
	lagging, confirmed := map[string]bool{}, map[string]bool{}
	for _, member := range replies {
		if member.reply == nil || member.reply.GetVersion() < version {
			lagging["member "+member.name] = true
		}
		combined.Live += member.reply.GetLive()
		// A member lists at most maxLaggards nodes. Other members can't be asked whether the remaining ones have
		// confirmed the version to them.
		combined.InForce = combined.InForce && member.reply.GetLagging() <= maxLaggards
		for _, id := range member.reply.GetLaggards() {
			lagging[id] = true
		}
		for _, id := range member.reply.GetConfirmed() {
			confirmed[id] = true
		}
	}
	for id := range confirmed {
		delete(lagging, id)
	}
	combined.InForce = combined.InForce && len(lagging) == 0
	combined.Lagging = uint32(len(lagging))
	combined.Laggards = slices.Sorted(maps.Keys(lagging))
	if len(combined.Laggards) > maxLaggards {
		combined.Laggards = combined.Laggards[:maxLaggards]
	}
	return combined
}
