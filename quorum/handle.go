package quorum

import (
	"context"
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"burdocksaddle/consensus"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

const replyTimeout = time.Second

// Handle serves a stream of messages from another member until it ends.
func (l *Log) Handle(ctx context.Context, first *wirepb.PeerMessage, stream *wire.Stream) {
	payload := &wirepb.PeerPayload{}
	if l.Stopped() || proto.Unmarshal(first.GetPayload(), payload) != nil {
		return
	}
	switch body := payload.GetBody().(type) {
	case *wirepb.PeerPayload_Probe:
		l.sendReply(stream, &wirepb.PeerPayload{Group: l.group(), Body: &wirepb.PeerPayload_ProbeReply{ProbeReply: l.probeReply()}})
	case *wirepb.PeerPayload_Join:
		l.sendReply(stream, &wirepb.PeerPayload{Group: l.group(), Body: &wirepb.PeerPayload_JoinReply{
			JoinReply: l.handleJoin(ctx, body.Join.GetMember()),
		}})
	case *wirepb.PeerPayload_Message:
		l.receive(first, payload, stream)
	}
}

func (l *Log) sendReply(stream *wire.Stream, payload *wirepb.PeerPayload) {
	_ = stream.Send(packFrame(&wirepb.PeerMessage{From: l.id}, payload), replyTimeout)
}

// receive passes the messages of one member to the step loop until the stream ends; messages are dropped while the
// inbox is full.
func (l *Log) receive(first *wirepb.PeerMessage, payload *wirepb.PeerPayload, stream *wire.Stream) {
	from, address := first.GetFrom(), payload.GetAddress()
	if first.GetTo() != l.id || from == 0 {
		return // addressed to a former member at this address
	}
	group := payload.GetGroup()
	for {
		if own := l.group(); group != 0 && own != 0 && group != own {
			return
		}
		message, err := consensus.MessageFromWire(from, l.id, payload.GetMessage())
		if err != nil {
			l.log.Error(err, "invalid message from member", "from", from)
			return
		}
		select {
		case l.inbox <- inboundMessage{message: message, address: address}:
		case <-l.stopped:
			return
		default:
		}
		frame, err := stream.Receive(0)
		if err != nil {
			return
		}
		payload = &wirepb.PeerPayload{}
		if proto.Unmarshal(frame.GetPeerMessage().GetPayload(), payload) != nil {
			return
		}
	}
}

func (l *Log) probeReply() *wirepb.PeerProbeReply {
	v := l.published.Load()
	return &wirepb.PeerProbeReply{
		Id: l.id, Name: l.config.Name, Empty: v.status.Last == 0 && v.status.Term == 0,
		Group: v.status.Configuration.Group, Leader: v.status.Leader, LeaderAddress: v.leaderAddress,
	}
}

// handleJoin adds a member to the group as a learner; it fails if this member is not the leader. The new member has
// joined once its own log contains it.
func (l *Log) handleJoin(ctx context.Context, w *wirepb.LogMember) *wirepb.PeerJoinReply {
	member, err := consensus.MemberFromWire(w)
	if err != nil {
		return &wirepb.PeerJoinReply{Error: err.Error()}
	}
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	err = l.submitRequest(ctx, coreRequest{join: &member, errc: make(chan error, 1)})
	reply := &wirepb.PeerJoinReply{Joined: err == nil}
	if err != nil {
		reply.Error = err.Error()
		var notLeader ErrNotLeader
		if errors.As(err, &notLeader) {
			reply.LeaderAddress = notLeader.LeaderAddress
		}
	}
	return reply
}
