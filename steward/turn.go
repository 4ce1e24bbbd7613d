package steward

import (
	"context"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/wirepb"
)

// recordLimits passes on what endpoints told gateways about their limits, so that all gateways apply them.
func (l *leader) recordLimits(now time.Time) {
	type heard struct {
		endpoint.HeardLimit
		gateway string
	}
	var all []heard
	l.mu.Lock()
	for node, d := range l.demands {
		for _, e := range d.limits {
			all = append(all, heard{endpoint.HeardLimit{
				Incarnation: endpoint.Incarnation{ID: e.GetId(), StartMS: e.GetBornMs()}, Limit: endpoint.Limit{Named: e.GetLimited(), PerSecond: e.GetPerSecond()},
				HeardAt: d.at.Add(-time.Duration(e.GetAgeMs()) * time.Millisecond),
			}, node})
		}
	}
	l.mu.Unlock()
	changed := false
	for _, h := range all {
		if l.planner.RecordLimit(h.Incarnation, h.Limit, h.HeardAt) {
			l.log.Info("endpoint limit changed", "endpoint", h.ID, "startMs", h.StartMS, "named", h.Named, "perSecond", h.PerSecond, "gateway", h.gateway)
			changed = true
		}
	}
	if changed {
		l.publish(now, true)
	}
}

// handleTurn decides whether a gateway may send a request to an endpoint with a limit.
func (s *Steward) handleTurn(_ context.Context, request *wirepb.TurnRequest) *wirepb.Frame {
	reply := &wirepb.TurnReply{}
	_, self := s.quorumLog.Leader()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !self || !s.leading {
		reply.Error = "this steward does not lead"
	} else {
		i := endpoint.Incarnation{ID: request.GetEndpoint(), StartMS: request.GetBornMs()}
		turn := s.turns.Take(i, request.GetGateway(), request.GetPerSecond(), time.Now())
		reply.Granted, reply.WaitMs, reply.Gateways = turn.Granted, uint32(turn.Wait.Milliseconds()), uint32(turn.Processes)
	}
	return &wirepb.Frame{Body: &wirepb.Frame_TurnReply{TurnReply: reply}}
}
