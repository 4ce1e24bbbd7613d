package control

import (
	"time"

	"burdocksaddle/wirepb"
)

// holder is one node's process that may hold a lease from this member; it outlives the node's
// streams until its last lease has run out.
type holder struct {
	id        string
	confirmed uint64
	stamp     uint64
	until     time.Time
	streams   int
}

func (m *Member) hold(node *wirepb.Watch) *holder {
	id := node.GetNode() + "/" + node.GetProcess()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.forgetHolders(time.Now())
	h, ok := m.holders[id]
	if !ok {
		h = &holder{id: id}
		m.holders[id] = h
	}
	h.confirmed, h.stamp = max(h.confirmed, node.GetCatalogVersion()), max(h.stamp, node.GetStamp())
	h.streams++
	return h
}

func (m *Member) release(h *holder) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.streams--
}

func (m *Member) confirmed(h *holder, confirm *wirepb.Confirm) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h.confirmed = max(h.confirmed, confirm.GetCatalogVersion())
	h.stamp = max(h.stamp, confirm.GetStamp())
}

// forgetHolders drops those whose lease has run out; the caller holds the lock.
func (m *Member) forgetHolders(now time.Time) {
	for id, h := range m.holders {
		if h.streams == 0 && now.After(h.until) {
			delete(m.holders, id)
		}
	}
}
