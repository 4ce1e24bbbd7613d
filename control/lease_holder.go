package control

import (
	"time"

	"burdocksaddle/wirepb"
)

// leaseHolder is a node process that may hold a lease from this member. It is kept after the process's streams
// are closed until its last lease has expired.
type leaseHolder struct {
	id               string
	confirmedVersion uint64
	stamp            uint64
	leaseEnd         time.Time
	streams          int
}

func (m *Member) registerLeaseHolder(node *wirepb.Watch) *leaseHolder {
	id := node.GetNode() + "/" + node.GetProcess()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeExpiredLeaseHolders(time.Now())
	h, ok := m.leaseHolders[id]
	if !ok {
		h = &leaseHolder{id: id}
		m.leaseHolders[id] = h
	}
	h.confirmedVersion, h.stamp = max(h.confirmedVersion, node.GetCatalogVersion()), max(h.stamp, node.GetStamp())
	h.streams++
	return h
}

func (m *Member) releaseLeaseHolder(h *leaseHolder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.streams--
}

func (m *Member) recordConfirm(h *leaseHolder, confirm *wirepb.Confirm) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.confirmedVersion = max(h.confirmedVersion, confirm.GetCatalogVersion())
	h.stamp = max(h.stamp, confirm.GetStamp())
}

// removeExpiredLeaseHolders removes processes without a stream whose lease has expired. The caller must hold the lock.
func (m *Member) removeExpiredLeaseHolders(now time.Time) {
	for id, h := range m.leaseHolders {
		if h.streams == 0 && now.After(h.leaseEnd) {
			delete(m.leaseHolders, id)
		}
	}
}
