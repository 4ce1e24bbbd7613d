package control

import (
	"context"
	"encoding/json"
	"time"

	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

const (
	watchSendTimeout = 2 * time.Second
)

// watcher is one node's open stream.
type watcher struct {
	node      string
	endpoint  string
	confirmed uint64
	until     time.Time
}

// Watch serves one node's stream until either side ends it.
func (m *Member) Watch(ctx context.Context, w *wirepb.Watch, stream *wire.Stream) {
	own := &watcher{node: w.GetNode(), endpoint: w.GetEndpoint(), confirmed: w.GetCatalogVersion()}
	m.mu.Lock()
	m.watchers[own] = struct{}{}
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.watchers, own)
		m.mu.Unlock()
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go m.readConfirms(stream, own, cancel)
	catalogVersion, fleetVersion := w.GetCatalogVersion(), w.GetFleetVersion()
	for {
		changes := m.changes()
		update := m.update(own, w.GetIncarnation(), catalogVersion, fleetVersion)
		if err := stream.Send(&wirepb.Frame{CatalogVersion: m.Catalog().Version, Body: &wirepb.Frame_WatchUpdate{WatchUpdate: update}}, watchSendTimeout); err != nil {
			return
		}
		catalogVersion, fleetVersion = m.Catalog().Version, update.GetFleetVersion()
		select {
		case <-ctx.Done():
			return
		case <-changes:
		case <-time.After(m.lease / 4):
		}
	}
}

func (m *Member) readConfirms(stream *wire.Stream, own *watcher, cancel context.CancelFunc) {
	defer cancel()
	for {
		frame, err := stream.Receive(0)
		if err != nil {
			return
		}
		if confirm := frame.GetConfirm(); confirm != nil {
			m.mu.Lock()
			own.confirmed = max(own.confirmed, confirm.GetCatalogVersion())
			m.mu.Unlock()
		}
	}
}

// update holds what changed since the versions that the node has.
func (m *Member) update(own *watcher, incarnation, catalogVersion, fleetVersion uint64) *wirepb.WatchUpdate {
	m.mu.Lock()
	defer m.mu.Unlock()
	own.until = time.Now().Add(m.lease)
	u := &wirepb.WatchUpdate{FleetVersion: m.machine.fleet.Version(), LeaseMs: uint64(m.lease.Milliseconds())}
	if m.machine.catalog.Version != catalogVersion {
		u.Catalog, _ = json.Marshal(m.machine.catalog)
	}
	u.FleetFull = fleetVersion == 0
	for _, endpoint := range m.machine.fleet.Endpoints() {
		if endpoint.Changed > fleetVersion {
			u.Endpoints = append(u.Endpoints, endpointView(m.machine.fleet, endpoint))
		}
	}
	u.GoneEndpoints = m.machine.fleet.Gone(fleetVersion)
	if own.endpoint != "" {
		u.Orders = m.orders(own.endpoint, incarnation)
		m.addPermits(u, own.endpoint, incarnation)
	}
	return u
}
