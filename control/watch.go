package control

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"burdocksaddle/setting"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

const (
	watchSendTimeout = 2 * time.Second
	// gather lets changes that come close together go out as one update.
	gather = 5 * time.Millisecond
)

// watcher is one node's open stream.
type watcher struct {
	member *Member
	holder *holder
	stream *wire.Stream
	node   *wirepb.Watch
	// round is the proof that the lease needs at least: for a process that never held a lease one
	// that began after it came, or it could serve what is older than what its predecessor served.
	round   uint64
	renew   chan struct{}
	catalog uint64
	// pending is the catalog's version in the update that is being sent.
	pending uint64
	fleet   uint64
	orders  *wirepb.WatchUpdate
	leased  bool
}

// Watch serves one node's stream until either side ends it.
func (m *Member) Watch(ctx context.Context, node *wirepb.Watch, stream *wire.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &watcher{
		member: m, stream: stream, node: node, renew: make(chan struct{}, 1),
		catalog: node.GetCatalogVersion(), fleet: node.GetFleetVersion(),
	}
	if !node.GetLeased() {
		w.round = m.nextProof()
		m.askProof()
	}
	w.holder = m.hold(node)
	defer m.release(w.holder)
	read := w.readConfirms(cancel)
	w.serve(ctx)
	cancel()
	stream.Close()
	<-read
}

// serve sends an update at each change that concerns the node and at each renewal that it asks for.
func (w *watcher) serve(ctx context.Context) {
	for asked := true; ; {
		changes, proofs := w.member.changes(), w.member.proofs()
		if update := w.update(); asked || w.concerns(update) {
			if !w.send(update) {
				return
			}
		}
		if w.leased {
			proofs = nil
		}
		asked = false
		select {
		case <-ctx.Done():
			return
		case <-w.renew:
			asked = true
		case <-proofs:
		case <-changes:
			time.Sleep(gather)
		}
	}
}

func (w *watcher) send(update *wirepb.WatchUpdate) bool {
	frame := &wirepb.Frame{CatalogVersion: w.member.Catalog().Version, Body: &wirepb.Frame_WatchUpdate{WatchUpdate: update}}
	if err := w.stream.Send(frame, watchSendTimeout); err != nil {
		return false
	}
	w.sent(update)
	return true
}

// sent takes over what the node has now.
func (w *watcher) sent(update *wirepb.WatchUpdate) {
	if len(update.GetCatalog()) > 0 {
		w.catalog = w.pending
	}
	w.fleet, w.leased = max(w.fleet, update.GetFleetVersion()), update.GetLeaseMs() > 0
	w.orders = &wirepb.WatchUpdate{Orders: update.GetOrders(), AdapterPermits: update.GetAdapterPermits()}
}

// concerns tells whether an update holds news for the node.
func (w *watcher) concerns(u *wirepb.WatchUpdate) bool {
	if len(u.GetCatalog()) > 0 || !w.leased && u.GetLeaseMs() > 0 {
		return true
	}
	if w.node.GetRole() == string(setting.RoleAgent) {
		orders := &wirepb.WatchUpdate{Orders: u.GetOrders(), AdapterPermits: u.GetAdapterPermits()}
		return !proto.Equal(w.orders, orders)
	}
	return u.GetFleetVersion() > w.fleet
}

func (w *watcher) readConfirms(cancel context.CancelFunc) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer cancel()
		for {
			frame, err := w.stream.Receive(0)
			if err != nil {
				return
			}
			if confirm := frame.GetConfirm(); confirm != nil {
				w.member.confirmed(w.holder, confirm)
				if confirm.GetSeenVersion() > w.member.Catalog().Version {
					w.member.askProof()
				}
				if confirm.GetRenew() {
					w.askRenew()
				}
			}
		}
	}()
	return ended
}

func (w *watcher) askRenew() {
	select {
	case w.renew <- struct{}{}:
	default:
	}
}

// update holds what changed since the versions that the node has, and the lease that goes with it: a
// node that takes the lease takes the catalog too.
func (w *watcher) update() *wirepb.WatchUpdate {
	m := w.member
	m.mu.Lock()
	defer m.mu.Unlock()
	u := &wirepb.WatchUpdate{FleetVersion: m.machine.fleet.Version(), Stamp: w.holder.stamp, LeaseLengthMs: uint64(m.lease.Milliseconds())}
	w.grant(u, time.Now())
	if version := m.machine.catalog.Version; version > w.catalog {
		encoded := m.catalogSince(w.catalog)
		u.Catalog, u.CatalogDelta = encoded.data, encoded.delta
		w.pending = version
	}
	if w.node.GetEndpoint() != "" {
		u.Orders = m.orders(w.node.GetEndpoint(), w.node.GetIncarnation())
		m.addPermits(u, w.node.GetEndpoint(), w.node.GetIncarnation())
	}
	if w.node.GetRole() != string(setting.RoleAgent) && u.GetFleetVersion() > w.fleet {
		changed := m.fleetSince(w.fleet)
		u.FleetFull, u.Endpoints, u.GoneEndpoints = changed.GetFleetFull(), changed.GetEndpoints(), changed.GetGoneEndpoints()
	}
	return u
}

// grant puts a lease into an update, as long as the member's proof of the quorum allows.
func (w *watcher) grant(u *wirepb.WatchUpdate, now time.Time) {
	m := w.member
	lease, stale := m.vouch(now)
	u.Stale = stale
	if m.proof.round < w.round {
		lease = 0
	}
	u.LeaseMs = uint64(lease.Milliseconds())
	w.holder.until = later(w.holder.until, now.Add(lease))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
