package steward

import (
	"context"
	"slices"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

const (
	// heartbeatInterval is the longest time between two snapshots on a gateway's stream.
	heartbeatInterval = 500 * time.Millisecond
	// coalesceDelay lets changes in quick succession go out in one snapshot.
	coalesceDelay = 5 * time.Millisecond
	// sendTimeout bounds a send to a gateway; a gateway that does not read within it is disconnected.
	sendTimeout = 2 * time.Second
	// maxTableProofAge is the maximum age of a quorum proof for the table to count as current.
	maxTableProofAge = time.Second
)

// handleSubscribe serves the stream of one gateway until either side ends it.
func (s *Steward) handleSubscribe(ctx context.Context, request *wirepb.Subscribe, stream *wire.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.log.Info("subscriber connected", "subscriber", request.GetNode())
	s.addGatewayStreams(1)
	defer s.addGatewayStreams(-1)
	readDone := make(chan struct{})
	go func() {
		defer close(readDone)
		defer cancel()
		s.readFrames(request.GetNode(), stream)
	}()
	s.sendSnapshots(ctx, stream)
	stream.Close()
	cancel()
	<-readDone
	s.log.Info("subscriber disconnected", "subscriber", request.GetNode())
}

func (s *Steward) addGatewayStreams(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gatewayStreams += delta
}

func (s *Steward) readFrames(node string, stream *wire.Stream) {
	for {
		frame, err := stream.Receive(0)
		if err != nil {
			return // the gateway closed the stream or the connection failed
		}
		if d := frame.GetDemandReport(); d != nil {
			s.recordDemand(node, d)
		}
		if starts := frame.GetStreamStarts(); starts != nil {
			s.recordStarts(starts)
		}
	}
}

func (s *Steward) recordDemand(node string, d *wirepb.DemandReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	newRequests := s.demands[node].newRequests
	if newRequests == nil {
		newRequests = map[string]requestCounts{}
	}
	for _, m := range d.GetModels() {
		newRequests[m.GetModel()] = newRequests[m.GetModel()].add(m)
	}
	if s.leading {
		s.crashReports.add(d, time.Now())
		s.paces = append(s.paces, d.GetPaces()[:min(len(d.GetPaces()), maxPendingPaces-len(s.paces))]...)
	}
	s.demands[node] = demandReport{at: time.Now(), models: d.GetModels(), leaving: d.GetLeaving(), limits: d.GetLimits(), newRequests: newRequests}
	notify(s.leaderWake)
}

// notify wakes a loop without blocking; notifications before the loop wakes are merged into one.
func notify(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

func (s *Steward) sendSnapshots(ctx context.Context, stream *wire.Stream) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	var sent sentView
	for {
		snapshot, changed := s.nextSnapshot(&sent)
		frame := &wirepb.Frame{Body: &wirepb.Frame_Snapshot{Snapshot: snapshot}}
		if err := stream.Send(frame, sendTimeout); err != nil {
			return // the gateway reconnects by itself
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-changed:
			time.Sleep(coalesceDelay)
		}
	}
}

// sentView records which view a subscriber has been sent, and up to which revision.
type sentView struct {
	view     *endpoint.View
	revision uint64
	// suspects and quarantine are what the subscriber was sent last; sentQuarantine is unset until the first time.
	suspects       []uint64
	quarantine     uint64
	sentQuarantine bool
	// software is the revision of the software versions that the subscriber was sent last; sentSeveral is set if a service had several.
	software    uint64
	sentSeveral bool
}

// nextSnapshot returns the next snapshot for a subscriber and a channel that is closed when its content changes.
func (s *Steward) nextSnapshot(sent *sentView) (*wirepb.Snapshot, <-chan struct{}) {
	proven := s.quorumLog.QuorumProofAge() < maxTableProofAge
	var stewards []string
	for _, m := range s.quorumLog.Members() {
		stewards = append(stewards, m.Address)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := &wirepb.Snapshot{Version: s.tableVersion, Stewards: stewards, Leads: s.leading, Proven: proven, Gateways: uint32(s.gatewayStreams)}
	if !sent.sentQuarantine || sent.quarantine != s.quarantine.Revision {
		snapshot.Quarantine = s.quarantine.ToWire()
		sent.quarantine, sent.sentQuarantine = s.quarantine.Revision, true
	}
	s.fillSoftware(snapshot, sent)
	if s.leading {
		if sent.view != s.endpointView {
			sent.view, sent.revision, sent.suspects = s.endpointView, 0, nil
		}
		if !slices.Equal(sent.suspects, s.suspects) {
			snapshot.Suspects, snapshot.HasSuspects, sent.suspects = s.suspects, true, s.suspects
		}
		sent.revision = s.endpointView.FillSnapshot(snapshot, sent.revision, time.Now())
	}
	return snapshot, s.changed
}
