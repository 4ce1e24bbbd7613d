package quorum

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"burdocksaddle/consensus"
	"burdocksaddle/wirepb"
)

const (
	// joinIntervalTicks is the interval at which a member outside a group tries to join one.
	joinIntervalTicks = 5
	probeTimeout      = 500 * time.Millisecond
)

// joinLoop makes this member part of a group, either as one of the initial voters or as a learner of an existing group.
func (l *Log) joinLoop(ctx context.Context) error {
	ticker := time.NewTicker(joinIntervalTicks * l.tick)
	defer ticker.Stop()
	for {
		l.ensureMembership(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (l *Log) ensureMembership(ctx context.Context) {
	status := l.published.Load().status
	own, member := status.Configuration.Member(l.id)
	if status.Departure != consensus.DepartureNone || member && status.Leader != 0 && own.Address == l.config.Address {
		return
	}
	others := l.otherPeers(status)
	if status.Last == 0 && status.Term == 0 && l.startsGroup() {
		l.tryBootstrap(ctx, others)
		return
	}
	for _, peer := range others {
		reply, err := l.probe(ctx, peer)
		if err != nil || reply.GetLeaderAddress() == "" || reply.GetLeaderAddress() == l.config.Address {
			continue
		}
		if l.join(ctx, reply.GetLeaderAddress()) {
			return
		}
	}
}

// SetPeers replaces the configured peers, which a member outside a group queries to find its group.
func (l *Log) SetPeers(peers []Peer) { l.configuredPeers.Store(&peers) }

// startsGroup reports whether this member is the one that bootstraps the group.
func (l *Log) startsGroup() bool {
	return l.firstStart && (len(l.config.Bootstrap) == 0 || l.config.Bootstrap[0].Name == l.config.Name)
}

// otherPeers returns the peers in the settings and in the log, without this member.
func (l *Log) otherPeers(status consensus.Status) []Peer {
	var others []Peer
	seen := map[string]bool{l.config.Address: true}
	for _, p := range *l.configuredPeers.Load() {
		if p.Name != l.config.Name && !seen[p.Address] {
			seen[p.Address] = true
			others = append(others, p)
		}
	}
	for _, m := range status.Configuration.Members {
		if m.ID != l.id && !seen[m.Address] {
			seen[m.Address] = true
			others = append(others, Peer{Name: m.Name, Address: m.Address})
		}
	}
	return others
}

// tryBootstrap starts the group if every initial voter is reachable and as empty as this member. If one of them holds a
// log, this member's data was lost and it joins as a learner.
func (l *Log) tryBootstrap(ctx context.Context, others []Peer) {
	configuration := consensus.Configuration{Group: randomID(), Target: uint32(max(len(others)+1, l.config.Voters))}
	self := consensus.Member{ID: l.id, Name: l.config.Name, Address: l.config.Address, Voter: true}
	configuration = configuration.WithMember(self)
	empty := 0
	for _, peer := range others {
		reply, err := l.probe(ctx, peer)
		switch {
		case err != nil:
			continue
		case reply.GetLeaderAddress() != "" && l.join(ctx, reply.GetLeaderAddress()):
			return
		case reply.GetEmpty() && reply.GetGroup() == 0 && reply.GetName() == peer.Name:
			empty++
			member := consensus.Member{ID: reply.GetId(), Name: peer.Name, Address: peer.Address, Voter: true}
			configuration = configuration.WithMember(member)
		}
	}
	if empty < len(others) {
		return
	}
	err := l.submitRequest(ctx, coreRequest{bootstrap: &configuration, errc: make(chan error, 1)})
	l.log.Info("group started", "group", configuration.Group, "voters", len(configuration.Members), "error", err)
}

func (l *Log) probe(ctx context.Context, peer Peer) (*wirepb.PeerProbeReply, error) {
	body := &wirepb.PeerPayload_Probe{Probe: &wirepb.PeerProbe{Id: l.id, Name: l.config.Name}}
	payload, err := l.call(ctx, peer.Address, &wirepb.PeerPayload{Body: body})
	return payload.GetProbeReply(), err
}

func (l *Log) join(ctx context.Context, leader string) bool {
	member := consensus.Member{ID: l.id, Name: l.config.Name, Address: l.config.Address, Standing: l.config.Standing}
	body := &wirepb.PeerPayload_Join{Join: &wirepb.PeerJoin{Member: member.ToWire()}}
	payload, err := l.call(ctx, leader, &wirepb.PeerPayload{Body: body})
	return err == nil && payload.GetJoinReply().GetJoined()
}

func (l *Log) call(ctx context.Context, address string, payload *wirepb.PeerPayload) (*wirepb.PeerPayload, error) {
	frame, err := l.pool.Call(ctx, address, packFrame(&wirepb.PeerMessage{From: l.id}, payload), probeTimeout)
	if err != nil {
		return nil, err
	}
	reply := &wirepb.PeerPayload{}
	if err := proto.Unmarshal(frame.GetPeerMessage().GetPayload(), reply); err != nil {
		return nil, consensus.ErrMalformed{What: "reply", Cause: err}
	}
	return reply, nil
}
