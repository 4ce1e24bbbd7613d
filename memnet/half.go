package memnet

import (
	"sync"
	"time"
)

// half is one direction of a connection: bytes with the moment from which they can be read.
type half struct {
	mu      sync.Mutex
	parts   []part
	size    int
	err     error // what the reader gets once parts are read
	stalled bool
	changed chan struct{}
}

type part struct {
	data []byte
	at   time.Time
}

func newHalf() *half { return &half{changed: make(chan struct{})} }

func (h *half) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// end makes the direction fail for its reader and its writer.
func (h *half) end(err error, discard bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err == nil {
		h.err = err
	}
	if discard {
		h.parts, h.size = nil, 0
	}
	h.notify()
}

// take reads what has arrived, or says how long until something does.
func (h *half) take(p []byte) (n int, wait time.Duration, changed <-chan struct{}, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stalled && h.err == nil {
		return 0, 0, h.changed, nil
	}
	if len(h.parts) == 0 {
		return 0, 0, h.changed, h.err
	}
	first := &h.parts[0]
	if wait = time.Until(first.at); wait > 0 {
		return 0, wait, h.changed, nil
	}
	n = copy(p, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 {
		h.parts = h.parts[1:]
	}
	h.size -= n
	h.notify()
	return n, 0, nil, nil
}

// put adds what fits whole; lost bytes are as good as sent until the connection is reset.
func (h *half) put(p []byte, lost bool) (int, <-chan struct{}, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.err != nil {
		return 0, nil, ErrReset{}
	}
	if lost {
		h.stalled = true // a stream with a hole cannot go on
	}
	if h.size > 0 && h.size+len(p) > bufferBytes {
		return 0, h.changed, nil
	}
	h.parts = append(h.parts, part{data: append([]byte{}, p...), at: time.Now().Add(latency)})
	h.size += len(p)
	h.notify()
	return len(p), nil, nil
}
