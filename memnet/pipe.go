package memnet

import (
	"sync"
	"time"
)

// pipe is one direction of a connection: data with the time from which it can be read.
type pipe struct {
	mu       sync.Mutex
	segments []segment
	size     int
	err      error // returned to the reader after all segments are read
	stalled  bool
	changed  chan struct{}
}

type segment struct {
	data       []byte
	readableAt time.Time
}

func newPipe() *pipe { return &pipe{changed: make(chan struct{})} }

func (p *pipe) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// closeWithError makes writes in this direction fail, and reads as well once all data is read. With discard, unread data is lost.
func (p *pipe) closeWithError(err error, discard bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil {
		p.err = err
	}
	if discard {
		p.segments, p.size = nil, 0
	}
	p.notify()
}

// read reads data that has arrived, or returns the time until the next data arrives.
func (p *pipe) read(b []byte) (n int, wait time.Duration, changed <-chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stalled && p.err == nil {
		return 0, 0, p.changed, nil
	}
	if len(p.segments) == 0 {
		return 0, 0, p.changed, p.err
	}
	first := &p.segments[0]
	if wait = time.Until(first.readableAt); wait > 0 {
		return 0, wait, p.changed, nil
	}
	n = copy(b, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 {
		p.segments = p.segments[1:]
	}
	p.size -= n
	p.notify()
	return n, 0, nil, nil
}

// write writes b as a whole if it fits into the buffer or the buffer is empty; arrival returns when that many bytes can be read.
// Dropped data counts as sent until the connection is reset.
func (p *pipe) write(b []byte, drop bool, arrival func(bytes int) time.Time) (int, <-chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return 0, nil, ErrReset{}
	}
	if drop {
		p.stalled = true // a stream with lost data cannot continue
	}
	if p.size > 0 && p.size+len(b) > bufferBytes {
		return 0, p.changed, nil
	}
	p.segments = append(p.segments, segment{data: append([]byte{}, b...), readableAt: arrival(len(b))})
	p.size += len(b)
	p.notify()
	return len(b), nil, nil
}
