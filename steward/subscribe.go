package steward

import (
	"context"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

const (
	// heartbeat is the longest silence on a gateway's stream.
	heartbeat = 500 * time.Millisecond
	// gather lets changes that come close together go out as one.
	gather = 5 * time.Millisecond
	// sendTimeout is when a gateway that does not read is given up.
	sendTimeout = 2 * time.Second
	// provenFor is how old a proof of the quorum may be for a table to be taken as current.
	provenFor = time.Second
)

// subscribe serves the stream of one gateway or sidecar until either side ends it.
func (s *Steward) subscribe(ctx context.Context, node *wirepb.Subscribe, stream *wire.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.log.Info("subscriber connected", "subscriber", node.GetNode(), "version", node.GetVersion())
	s.subscribed(1)
	defer s.subscribed(-1)
	read := make(chan struct{})
	go func() {
		defer close(read)
		defer cancel()
		s.readDemand(node.GetNode(), stream)
	}()
	s.show(ctx, node, stream)
	stream.Close()
	cancel()
	<-read
	s.log.Info("subscriber lost", "subscriber", node.GetNode())
}

func (s *Steward) subscribed(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.subscribers += change
}

func (s *Steward) readDemand(node string, stream *wire.Stream) {
	for {
		frame, err := stream.Receive(0)
		if err != nil {
			return // the gateway closed its stream or is gone
		}
		if d := frame.GetDemandReport(); d != nil {
			s.takeDemand(node, d)
		}
		if w := frame.GetEndpointState(); w != nil {
			s.takeEndpoint(endpoint.FromWire(w))
		}
	}
}

func (s *Steward) takeDemand(node string, d *wirepb.DemandReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	came := s.demands[node].came
	if came == nil {
		came = map[string]int{}
	}
	for _, m := range d.GetModels() {
		came[m.GetModel()] += int(m.GetCame())
	}
	s.demands[node] = demandReport{at: time.Now(), models: d.GetModels(), came: came}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// takeEndpoint takes a sidecar's word on its endpoint.
func (s *Steward) takeEndpoint(w endpoint.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reports[w.Address] = endpointReport{at: time.Now(), state: w}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Steward) show(ctx context.Context, node *wirepb.Subscribe, stream *wire.Stream) {
	version := node.GetVersion()
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	for {
		snapshot, changed := s.snapshotSince(version, node.GetTableOnly())
		frame := &wirepb.Frame{Body: &wirepb.Frame_Snapshot{Snapshot: snapshot}}
		if err := stream.Send(frame, sendTimeout); err != nil {
			return // the other side comes back by itself
		}
		version = max(version, snapshot.GetVersion())
		select {
		case <-ctx.Done():
			return
		case <-beat.C:
		case <-changed:
			time.Sleep(gather)
		}
	}
}

func (s *Steward) snapshotSince(version uint64, tableOnly bool) (*wirepb.Snapshot, <-chan struct{}) {
	proven := s.shared.Vouch() < provenFor
	var stewards []string
	for _, m := range s.shared.Members() {
		stewards = append(stewards, m.Address)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := &wirepb.Snapshot{Version: s.version, Stewards: stewards, Leads: s.leads, Proven: proven}
	if s.version > version {
		snapshot.Table = s.raw
	}
	if tableOnly {
		return snapshot, s.tabled
	}
	if s.leads {
		snapshot.HasEndpoints = true
		for _, w := range s.endpoints {
			snapshot.Endpoints = append(snapshot.Endpoints, w.Shown().ToWire())
		}
		for name, expected := range s.absent {
			snapshot.Absent = append(snapshot.Absent, &wirepb.AbsentModel{Name: name, ExpectedMs: uint32(expected.Milliseconds())})
		}
	}
	return snapshot, s.changed
}
