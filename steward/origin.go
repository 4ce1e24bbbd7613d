package steward

import (
	"context"
	"time"

	"burdocksaddle/stream"
	"burdocksaddle/wirepb"
)

// maxStarts limits the streams whose start a steward remembers, of all gateways together.
const maxStarts = 1 << 16

const (
	// maxVersionsProofAge is the maximum age of a quorum proof at which a steward tries to read the committed software versions. An isolated
	// steward answers at once.
	maxVersionsProofAge = time.Second
	// versionsReadTimeout bounds that read. It lasts as long as an election if there is one.
	versionsReadTimeout = 1100 * time.Millisecond
)

// recordStarts records where streams began at a gateway.
func (s *Steward) recordStarts(message *wirepb.StreamStarts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, group := range message.GetGroups() {
		for _, id := range group.GetStreams() {
			s.starts.Record(stream.Start{
				ID: id, Origin: stream.Origin{Service: group.GetService(), Software: group.GetSoftware()}, Model: group.GetModel(),
			}, now)
		}
	}
}

// handleOrigin tells a gateway where a stream began, or else which software versions its service has run. The versions are proven if they
// include every one that was committed before the query.
func (s *Steward) handleOrigin(ctx context.Context, query *wirepb.OriginQuery) *wirepb.Frame {
	reply := s.originReply(query)
	if !reply.GetKnown() && s.quorumLog.QuorumProofAge() < maxVersionsProofAge {
		ctx, cancel := context.WithTimeout(ctx, versionsReadTimeout)
		defer cancel()
		_, err := s.quorumLog.ReadBarrier(ctx)
		reply = s.originReply(query)
		reply.Proven = err == nil
	}
	return &wirepb.Frame{Body: &wirepb.Frame_OriginReply{OriginReply: reply}}
}

func (s *Steward) originReply(query *wirepb.OriginQuery) *wirepb.OriginReply {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	origin, known := s.starts.Find(query.GetStream(), now)
	return &wirepb.OriginReply{
		Known: known, Service: origin.Service, Software: origin.Software, Used: known || s.starts.Has(query.GetService(), now),
		Versions: s.software.Versions(query.GetService()),
	}
}
