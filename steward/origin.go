package steward

import (
	"context"
	"time"

	"burdocksaddle/stream"
	"burdocksaddle/wirepb"
)

// maxStarts limits the streams whose start a steward remembers, of all gateways together.
const maxStarts = 1 << 16

// maxVersionsProofAge is the maximum age of a quorum proof for the committed software versions to count as current.
const maxVersionsProofAge = time.Second

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

// handleOrigin tells a gateway where a stream began, and which software versions its service has run.
func (s *Steward) handleOrigin(_ context.Context, query *wirepb.OriginQuery) *wirepb.Frame {
	proven := s.quorumLog.QuorumProofAge() < maxVersionsProofAge
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	origin, known := s.starts.Find(query.GetStream(), now)
	reply := &wirepb.OriginReply{
		Known: known, Service: origin.Service, Software: origin.Software, Used: known || s.starts.Has(query.GetService(), now),
		Versions: s.software.Versions(query.GetService()), Proven: proven,
	}
	return &wirepb.Frame{Body: &wirepb.Frame_OriginReply{OriginReply: reply}}
}
