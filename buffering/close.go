package buffering

import (
	"slices"
	"time"
)

// Phase is what a connection and its client are doing.
type Phase int

// Values of Phase.
const (
	// Idle connections wait for a request.
	Idle Phase = iota
	// Sending is the time from the first byte of a request to its last one.
	Sending
	// Waiting is the time in which the client waits for a response.
	Waiting
	// Unread is the time in which a write to the client is blocked.
	Unread
	// Refused is the time that a client is given to read a refusal.
	Refused
	// Peer is the phase of an internal session that has made a call.
	Peer
)

const (
	// minRate is the rate, in bytes per second, at which a client that is not late sends.
	minRate = 16 << 10
	// lateAfter is how far behind minRate a client may be, or how long it may leave a response unread, until it is late.
	lateAfter = time.Second
)

// Holding is what one connection holds.
type Holding struct {
	Phase Phase
	// For is how long the phase has lasted, Moved how many bytes were received in it.
	For   time.Duration
	Moved int
	// Bytes is the memory that closing the connection would release.
	Bytes int
}

// behind returns how far the client is behind one that is just fast enough.
func (h Holding) behind() time.Duration {
	if h.Phase == Sending {
		return h.For - time.Duration(h.Moved)*time.Second/minRate
	}
	return h.For
}

// late reports whether the client is too slow to be an ordinary one.
func (h Holding) late() bool {
	return (h.Phase == Sending || h.Phase == Unread || h.Phase == Refused) && h.behind() > lateAfter
}

// MayClose reports whether the connection may be closed to make room. A request that is complete must get its response.
func (h Holding) MayClose() bool { return h.Phase != Waiting && h.Phase != Peer }

// rank orders connections for their descriptors: those of late clients first, then refused ones, then idle ones, then those whose clients still send
// or read.
func (h Holding) rank() int {
	switch {
	case h.late():
		return 0
	case h.Phase == Refused:
		return 1
	case h.Phase == Idle:
		return 2
	}
	return 3
}

// before reports whether a connection is closed before another one to release a descriptor. Among late clients it is the one that is furthest behind,
// else the one that has been idle, or has sent, for longest: ordinary clients send at once and are the last ones.
func (h Holding) before(other Holding) bool {
	switch {
	case h.rank() != other.rank():
		return h.rank() < other.rank()
	case h.late():
		return h.behind() > other.behind()
	}
	return h.For > other.For
}

// FirstForDescriptor returns the index of the connection to close so that another client can connect, -1 if none may be.
func FirstForDescriptor(all []Holding) int {
	first := -1
	for i, h := range all {
		if h.MayClose() && (first < 0 || h.before(all[first])) {
			first = i
		}
	}
	return first
}

// FirstForMemory returns the indices of the connections to close, in this order, to release at least the given number of bytes, or as much as may
// be: those of late clients first, then, unless onlyLate is set, those that hold most. Idle connections hold little, and refused ones that are not late end
// soon; neither is closed.
func FirstForMemory(all []Holding, bytes int, onlyLate bool) []int {
	var order []int
	for i, h := range all {
		if h.MayClose() && (h.late() || !onlyLate && h.Phase != Idle && h.Phase != Refused) {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(i, j int) int {
		if a, b := all[i].late(), all[j].late(); a != b {
			if a {
				return -1
			}
			return 1
		}
		return all[j].Bytes - all[i].Bytes
	})
	for n, i := range order {
		if bytes <= 0 {
			return order[:n]
		}
		bytes -= all[i].Bytes
	}
	return order
}
