package buffering

// Memory that the account counts for one connection and for one request, in bytes.
const (
	// ConnBytes is what an idle connection takes up: its goroutine, its buffers, and a short head.
	ConnBytes = 20 << 10
	// RequestBytes is what a request in progress takes up besides its head and bodies: goroutines, the buffers of its connection to an endpoint,
	// and what the kernel holds for the client in both directions.
	RequestBytes = 48 << 10
	// SessionBytes is what the kernel may hold for an internal session whose peer has not made a call yet.
	SessionBytes = 128 << 10
	// FieldBytes is what a header field takes up besides its text, in the incoming and the outgoing request.
	FieldBytes = 256
	// textCopies is how many copies of the text of a head are kept.
	textCopies = 2
)

const (
	// accountShare is the percentage of a machine's memory that the account may use. The rest is for what the process keeps anyway, and for
	// garbage.
	accountShare = 40
	// reservedDescriptors of a machine are not for sockets.
	reservedDescriptors = 200
	// defaultDescriptors is assumed if the settings name none.
	defaultDescriptors = 4096
	// minConns is the least number of connections of any listener.
	minConns = 16
	// highWater is the percentage of the account above which connections are closed, until lowWater is reached. The rest is for short requests.
	highWater, lowWater = 85, 70
)

// HeadBytes returns the memory that a head of the given length and number of lines takes up once it is parsed.
func HeadBytes(length, lines int) int { return textCopies*length + FieldBytes*lines }

// Limits bound what a process holds for its clients.
type Limits struct {
	// MemoryMB is the machine's memory, 0 if unknown, Bytes the part of it that the account may use.
	MemoryMB, Bytes int
	// Sockets is the number of connections of all listeners and of requests that are passed on, each of which may need a connection to an endpoint.
	// Conns is the number of the former.
	Sockets, Conns int
}

// NewLimits returns the limits of a process on a machine with the given memory in megabytes and number of descriptors, each 0 if unknown.
// Connections take at most five eighths of the sockets and half of the memory. An eighth of the sockets is for other uses.
func NewLimits(memoryMB, descriptors int) Limits {
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	memory := memoryMB
	if memory <= 0 {
		memory = DefaultMemoryMB
	}
	sockets := max(descriptors-reservedDescriptors, 0)
	bytes := memory * mebibyte / 100 * accountShare
	return Limits{
		MemoryMB: memoryMB, Bytes: bytes,
		Sockets: max(sockets*7/8, 6*minConns), Conns: max(min(sockets*5/8, bytes/2/ConnBytes), 4*minConns),
	}
}

// Part returns the connections of a listener that gets one of the given number of equal parts.
func (l Limits) Part(parts int) int { return max(l.Conns/parts, minConns) }

// Account counts everything that a process holds for its clients: its Budget of bodies and events, and what connections, requests and heads
// take up. It isn't safe for concurrent use.
type Account struct {
	*Budget
	limits Limits
	// held counts the bytes of connections, requests, heads and internal streams, releasing those that closed connections will release.
	held, releasing int
	conns, requests int
}

// NewAccount returns an empty account.
func NewAccount(limits Limits) *Account {
	return &Account{Budget: NewBudget(limits.MemoryMB), limits: limits}
}

// Limits returns the limits of the account.
func (a *Account) Limits() Limits { return a.limits }

// HeldBytes returns how many bytes are counted in all.
func (a *Account) HeldBytes() int { return a.held + a.Total() }

// Conns returns how many connections are open.
func (a *Account) Conns() int { return a.conns }

// Requests returns how many requests are passed on.
func (a *Account) Requests() int { return a.requests }

// Take counts bytes that do not belong to the Budget, and reports whether the account has room for them.
func (a *Account) Take(bytes int) bool {
	if a.HeldBytes()+bytes > a.limits.Bytes {
		return false
	}
	a.held += bytes
	return true
}

// Connect counts a connection, whose memory is counted until it is returned.
func (a *Account) Connect() {
	a.conns++
	a.held += ConnBytes
}

// Disconnect ends the use of a connection's descriptor.
func (a *Account) Disconnect() { a.conns-- }

// Return ends the use of bytes.
func (a *Account) Return(bytes int) { a.held -= bytes }

// Enter counts a request that is passed on, and reports whether there may be another one.
func (a *Account) Enter() bool {
	if a.conns+a.requests >= a.limits.Sockets {
		return false
	}
	a.requests++
	return true
}

// Leave ends a request that Enter counted.
func (a *Account) Leave() { a.requests-- }

// Hold counts a body or an event like Budget.Hold, within the account.
func (a *Account) Hold(use Use, bytes int) bool {
	if use == RequestBodies && a.HeldBytes()+bytes > a.limits.Bytes {
		return false
	}
	return a.Budget.Hold(use, bytes)
}

// Pressed reports whether connections must be closed to make room for ordinary requests.
func (a *Account) Pressed() bool {
	fromAny, fromLate := a.excess(highWater)
	return fromAny > 0 || fromLate > 0
}

// Excess returns how many bytes connections must release until the account is no longer pressed: any connections, and those of late clients.
func (a *Account) Excess() (fromAny, fromLate int) {
	if !a.Pressed() {
		return 0, 0
	}
	return a.excess(lowWater)
}

// excess returns by how much the account exceeds a percentage of its limits. Bodies have limits of their own, of which ordinary clients get their
// part once late ones are gone.
func (a *Account) excess(percentage int) (fromAny, fromLate int) {
	over := func(used, limit int) int { return max(used-a.releasing-limit/100*percentage, 0) }
	fromLate = max(over(a.Total(), a.Limit()), over(a.Used(RequestBodies), a.share[RequestBodies]))
	return over(a.HeldBytes(), a.limits.Bytes), fromLate
}

// Expect counts bytes that a connection which is being closed will release, negative once it has.
func (a *Account) Expect(bytes int) { a.releasing += bytes }
