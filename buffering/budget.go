package buffering

const (
	// MemoryShare is the divisor of a machine's memory that gives the budget.
	MemoryShare = 4
	// DefaultMemoryMB is the memory assumed if the settings name none, that of the smallest machine in use when the budget was introduced.
	DefaultMemoryMB = 284
	// MaxReadAhead is how many bytes of a stream may wait for its client.
	MaxReadAhead = 256 << 10
	// SmallBytes is the size up to which an event or a response body is always accepted, since its request has already run, and up to
	// which request bodies don't need a part of their share, so that long ones don't keep out short calls.
	SmallBytes = 64 << 10

	mebibyte = 1 << 20
	// queueShare is the divisor of the budget that gives the part for queued events. It is less than the share of their use, so that streams
	// with long events go on beside slow clients.
	queueShare = 3
	// maxResponseBodies limits response bodies on large machines. On smaller ones their share of the budget is the same as on a
	// machine of DefaultMemoryMB, maxResponseBodies of defaultBudgetMB.
	maxResponseBodies = 48 * mebibyte
	defaultBudgetMB   = DefaultMemoryMB / MemoryShare
)

// Use is what memory is used for.
type Use int

// Values of Use.
const (
	RequestBodies Use = iota
	ResponseBodies
	// ReadAhead is for events that clients have not yet read.
	ReadAhead
	uses
)

// String returns the name of the use in metrics.
func (u Use) String() string { return [...]string{"RequestBodies", "ResponseBodies", "ReadAhead"}[u] }

// Budget counts buffered bytes by use. It isn't safe for concurrent use.
type Budget struct {
	limit int
	share [uses]int
	used  [uses]int
}

// NewBudget returns the empty budget of a gateway with the given memory in megabytes, 0 if unknown. Neither request bodies nor slow clients
// can use up the whole budget, so that responses to running requests find room.
func NewBudget(memoryMB int) *Budget {
	if memoryMB <= 0 {
		memoryMB = DefaultMemoryMB
	}
	limit := memoryMB * mebibyte / MemoryShare
	b := &Budget{limit: limit}
	b.share[RequestBodies] = limit * 3 / 4
	b.share[ResponseBodies] = min(maxResponseBodies, limit/defaultBudgetMB*(maxResponseBodies/mebibyte))
	b.share[ReadAhead] = limit / 2
	return b
}

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int { return b.limit }

// Used returns how many bytes a use takes up.
func (b *Budget) Used(use Use) int { return b.used[use] }

// Total returns how many bytes all uses take up.
func (b *Budget) Total() int {
	total := 0
	for _, used := range b.used {
		total += used
	}
	return total
}

// Admits reports whether a new request may be read.
func (b *Budget) Admits() bool { return b.Total() < b.limit }

// Reserve counts bytes of any size if they are within the budget and the share of their use, and reports whether they are.
func (b *Budget) Reserve(use Use, bytes int) bool {
	if b.Total()+bytes > b.limit || b.used[use]+bytes > b.share[use] {
		return false
	}
	b.used[use] += bytes
	return true
}

// Hold counts a body or an event and reports whether it may be kept. Small response bodies and events always may, small request bodies
// while new requests are admitted.
func (b *Budget) Hold(use Use, bytes int) bool {
	if bytes > SmallBytes {
		return b.Reserve(use, bytes)
	}
	if use == RequestBodies && !b.Admits() {
		return false
	}
	b.used[use] += bytes
	return true
}

// MayQueue reports whether an event that is already counted may be queued for its client, behind the given number of unread bytes. Otherwise
// the stream is not read on until its client has read them.
func (b *Budget) MayQueue(unread, bytes int) bool {
	return unread == 0 || unread+bytes <= MaxReadAhead && b.used[ReadAhead] <= b.limit/queueShare && b.Total() <= b.limit
}

// Release ends the use of bytes.
func (b *Budget) Release(use Use, bytes int) { b.used[use] -= bytes }
