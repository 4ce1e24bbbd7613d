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

// subscribe serves the stream of one gateway until either side ends it.
func (s *Steward) subscribe(ctx context.Context, node *wirepb.Subscribe, stream *wire.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.log.Info("subscriber connected", "subscriber", node.GetNode(), "version", node.GetVersion())
	s.subscribed(1)
	defer s.subscribed(-1)
	read, wanted := make(chan struct{}), make(chan struct{}, 1)
	go func() {
		defer close(read)
		defer cancel()
		s.readFrames(node.GetNode(), stream, wanted)
	}()
	s.show(ctx, stream, wanted)
	stream.Close()
	cancel()
	<-read
	s.log.Info("subscriber lost", "subscriber", node.GetNode())
}

func (s *Steward) subscribed(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gateways += change
}

func (s *Steward) readFrames(node string, stream *wire.Stream, wanted chan<- struct{}) {
	for {
		frame, err := stream.Receive(0)
		if err != nil {
			return // the gateway closed its stream or is gone
		}
		if d := frame.GetDemandReport(); d != nil {
			s.takeDemand(node, d)
		}
		if frame.GetTableWanted() != nil {
			select {
			case wanted <- struct{}{}:
			default: // it is about to be sent
			}
		}
	}
}

func (s *Steward) takeDemand(node string, d *wirepb.DemandReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	news := s.demands[node].news
	if news == nil {
		news = map[string]counts{}
	}
	for _, m := range d.GetModels() {
		n := news[m.GetModel()]
		news[m.GetModel()] = counts{came: n.came + int(m.GetCame()), missed: n.missed + int(m.GetMissed())}
	}
	s.demands[node] = demandReport{at: time.Now(), models: d.GetModels(), news: news}
	nudge(s.wake)
}

// nudge tells a duty that there is news; one that was told already hears it once.
func nudge(duty chan<- struct{}) {
	select {
	case duty <- struct{}{}:
	default:
	}
}

func (s *Steward) show(ctx context.Context, stream *wire.Stream, wanted <-chan struct{}) {
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	var seen seenView
	for table := false; ; {
		snapshot, changed := s.snapshotFor(table, &seen)
		frame := &wirepb.Frame{Body: &wirepb.Frame_Snapshot{Snapshot: snapshot}}
		if err := stream.Send(frame, sendTimeout); err != nil {
			return // the other side comes back by itself
		}
		table = false
		select {
		case <-ctx.Done():
			return
		case <-wanted:
			table = true
		case <-beat.C:
		case <-changed:
			time.Sleep(gather)
		}
	}
}

// seenView is what a subscriber has been sent of the endpoints: of which view, up to which revision.
type seenView struct {
	view     *endpoint.View
	revision uint64
}

// snapshotFor returns what a subscriber is to see, and what closes when that changes.
func (s *Steward) snapshotFor(table bool, seen *seenView) (*wirepb.Snapshot, <-chan struct{}) {
	proven := s.shared.Vouch() < provenFor
	var stewards []string
	for _, m := range s.shared.Members() {
		stewards = append(stewards, m.Address)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	snapshot := &wirepb.Snapshot{Version: s.version, Stewards: stewards, Leads: s.leads, Proven: proven, Gateways: uint32(s.gateways)}
	if table {
		snapshot.Table = s.raw
	}
	if s.leads {
		if seen.view != s.view {
			*seen = seenView{view: s.view}
		}
		seen.revision = s.view.Fill(snapshot, seen.revision, time.Now())
	}
	return snapshot, s.changed
}
