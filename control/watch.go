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
	// batchDelay combines changes in quick succession into one update.
	batchDelay = 5 * time.Millisecond
)

// watcher is the open stream of one node.
type watcher struct {
	member      *Member
	leaseHolder *leaseHolder
	stream      *wire.Stream
	node        *wirepb.Watch
	// minProofRound is the earliest quorum proof that allows a lease. A process that never held a lease needs a proof
	// that started after it connected; otherwise it could serve an older version than its predecessor did.
	minProofRound  uint64
	renewRequests  chan struct{}
	catalogVersion uint64
	// pendingVersion is the catalog version in the update that is being sent.
	pendingVersion uint64
	fleetVersion   uint64
	sentOrders     *wirepb.WatchUpdate
	leased         bool
}

// HandleWatch serves a node's stream until either side closes it.
func (m *Member) HandleWatch(ctx context.Context, node *wirepb.Watch, stream *wire.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &watcher{
		member: m, stream: stream, node: node, renewRequests: make(chan struct{}, 1),
		catalogVersion: node.GetCatalogVersion(), fleetVersion: node.GetFleetVersion(),
	}
	if !node.GetLeased() {
		w.minProofRound = m.nextProofRound()
		m.requestProof()
	}
	w.leaseHolder = m.registerLeaseHolder(node)
	defer m.releaseLeaseHolder(w.leaseHolder)
	readerDone := w.readConfirms(cancel)
	w.serve(ctx)
	cancel()
	stream.Close()
	<-readerDone
}

// serve sends an update for each relevant change and for each lease renewal that the node requests.
func (w *watcher) serve(ctx context.Context) {
	for renewalDue := true; ; {
		changeSignal, proofSignal := w.member.changeSignal(), w.member.proofSignal()
		if update := w.update(); renewalDue || w.hasNews(update) {
			if !w.send(update) {
				return
			}
		}
		if w.leased {
			proofSignal = nil
		}
		renewalDue = false
		select {
		case <-ctx.Done():
			return
		case <-w.renewRequests:
			renewalDue = true
		case <-proofSignal:
		case <-changeSignal:
			time.Sleep(batchDelay)
		}
	}
}

func (w *watcher) send(update *wirepb.WatchUpdate) bool {
	frame := &wirepb.Frame{CatalogVersion: w.member.Catalog().Version, Body: &wirepb.Frame_WatchUpdate{WatchUpdate: update}}
	if err := w.stream.Send(frame, watchSendTimeout); err != nil {
		return false
	}
	w.recordSent(update)
	return true
}

// recordSent records what the node has received.
func (w *watcher) recordSent(update *wirepb.WatchUpdate) {
	if len(update.GetCatalog()) > 0 {
		w.catalogVersion = w.pendingVersion
	}
	w.fleetVersion, w.leased = max(w.fleetVersion, update.GetFleetVersion()), update.GetLeaseMs() > 0
	w.sentOrders = &wirepb.WatchUpdate{Orders: update.GetOrders(), AdapterPermits: update.GetAdapterPermits()}
}

// hasNews reports whether an update contains anything new for the node.
func (w *watcher) hasNews(u *wirepb.WatchUpdate) bool {
	if len(u.GetCatalog()) > 0 || !w.leased && u.GetLeaseMs() > 0 {
		return true
	}
	if w.node.GetRole() == string(setting.RoleAgent) {
		orders := &wirepb.WatchUpdate{Orders: u.GetOrders(), AdapterPermits: u.GetAdapterPermits()}
		return !proto.Equal(w.sentOrders, orders)
	}
	return u.GetFleetVersion() > w.fleetVersion
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
				w.member.recordConfirm(w.leaseHolder, confirm)
				if confirm.GetSeenVersion() > w.member.Catalog().Version {
					w.member.requestProof()
				}
				if confirm.GetRenew() {
					w.requestRenewal()
				}
			}
		}
	}()
	return ended
}

func (w *watcher) requestRenewal() {
	select {
	case w.renewRequests <- struct{}{}:
	default:
	}
}

// update returns the changes since the versions that the node has, together with a lease. A node that accepts the
// lease also accepts the catalog in the same update.
func (w *watcher) update() *wirepb.WatchUpdate {
	m := w.member
	m.mu.Lock()
	defer m.mu.Unlock()
	u := &wirepb.WatchUpdate{FleetVersion: m.machine.fleet.Version(), Stamp: w.leaseHolder.stamp, LeaseLengthMs: uint64(m.lease.Milliseconds())}
	w.addLease(u, time.Now())
	if version := m.machine.catalog.Version; version > w.catalogVersion {
		encoded := m.catalogSince(w.catalogVersion)
		u.Catalog, u.CatalogDelta = encoded.data, encoded.isDelta
		w.pendingVersion = version
	}
	if w.node.GetEndpoint() != "" {
		u.Orders = m.replicaOrders(w.node.GetEndpoint(), w.node.GetIncarnation())
		m.addPermits(u, w.node.GetEndpoint(), w.node.GetIncarnation())
	}
	if w.node.GetRole() != string(setting.RoleAgent) && u.GetFleetVersion() > w.fleetVersion {
		changed := m.fleetSince(w.fleetVersion)
		u.FleetFull, u.Endpoints, u.GoneEndpoints = changed.GetFleetFull(), changed.GetEndpoints(), changed.GetGoneEndpoints()
	}
	return u
}

// addLease adds a lease to an update, as long as the member's quorum proof allows.
func (w *watcher) addLease(u *wirepb.WatchUpdate, now time.Time) {
	m := w.member
	lease, stale := m.remainingLease(now)
	u.Stale = stale
	if m.quorumProof.provenRound < w.minProofRound {
		lease = 0
	}
	u.LeaseMs = uint64(lease.Milliseconds())
	w.leaseHolder.leaseEnd = latest(w.leaseHolder.leaseEnd, now.Add(lease))
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
