package consensus

// PeerState is how a leader sends to a peer.
type PeerState uint8

// A leader probes where a peer's log matches, streams entries, or sends a snapshot.
const (
	PeerProbing PeerState = iota
	PeerReplicating
	PeerSnapshotting
)

// progress is what a leader knows of one peer.
type progress struct {
	state       PeerState
	match, next uint64
	// probeSent is true until a probe is answered or a heartbeat came back.
	probeSent bool
	inflight  []sent
	bytes     int

	// ackTick is when the last heartbeat that came back was sent, round its round.
	ackTick, round uint64
	// heardTick is when anything was last heard, echoTick the peer's own tick of its last reply.
	heardTick, echoTick uint64

	snapshot  Snapshot
	offset    uint64
	chunkTick uint64
}

type sent struct {
	index uint64
	bytes int
}

func (p *progress) full(limits Limits) bool {
	return len(p.inflight) >= limits.InflightMessages || p.bytes >= limits.InflightBytes
}

func (p *progress) sentUpTo(index uint64, bytes int) {
	p.inflight = append(p.inflight, sent{index, bytes})
	p.bytes += bytes
	p.next = index + 1
}

func (p *progress) acknowledged(index uint64) {
	for len(p.inflight) > 0 && p.inflight[0].index <= index {
		p.bytes -= p.inflight[0].bytes
		p.inflight = p.inflight[1:]
	}
}

func (p *progress) probeFrom(next uint64) {
	p.state, p.next, p.probeSent = PeerProbing, max(next, p.match+1), false
	p.inflight, p.bytes, p.snapshot = nil, 0, Snapshot{}
}

func (p *progress) replicateFrom(next uint64) {
	p.probeFrom(next)
	p.state = PeerReplicating
}

func (p *progress) startSnapshot(s Snapshot) {
	p.probeFrom(p.match + 1)
	p.state, p.snapshot, p.offset = PeerSnapshotting, s, 0
}
