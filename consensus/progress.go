package consensus

// PeerState is the state of a leader's replication to a peer.
type PeerState uint8

// A leader probes for the index up to which a peer's log matches, streams entries, or sends a snapshot.
const (
	PeerProbing PeerState = iota
	PeerReplicating
	PeerSnapshotting
)

// progress tracks a leader's replication to one peer.
type progress struct {
	state       PeerState
	match, next uint64
	// probeSent is true until the probe is answered or a heartbeat reply arrives.
	probeSent     bool
	inflight      []inflightMessage
	inflightBytes int

	// ackedHeartbeatTick is when the latest acknowledged heartbeat was sent, ackedRound is its round.
	ackedHeartbeatTick, ackedRound uint64
	// lastReceivedTick is when the last message arrived, echoTick is the peer's own tick in its last reply.
	lastReceivedTick, echoTick uint64
	// progressTick is when the peer last acknowledged entries, or when it began to lack some.
	progressTick uint64
	// leaving is set if the peer announced that it is about to stop, and was not heard from since it started again. leavingStart
	// identifies the start of the peer that made the announcement.
	leaving      bool
	leavingStart uint64
	// answered is what the leader told the peer about its departure last.
	answered Departure
	// inherited is what the previous leader told about the peer, until this leader finds out for itself.
	inherited Absence

	snapshot       Snapshot
	snapshotOffset uint64
	chunkTick      uint64
}

type inflightMessage struct {
	index uint64
	bytes int
}

func (p *progress) inflightFull(limits Limits) bool {
	return len(p.inflight) >= limits.InflightMessages || p.inflightBytes >= limits.InflightBytes
}

func (p *progress) recordSent(index uint64, bytes int) {
	p.inflight = append(p.inflight, inflightMessage{index, bytes})
	p.inflightBytes += bytes
	p.next = index + 1
}

func (p *progress) releaseInflight(index uint64) {
	for len(p.inflight) > 0 && p.inflight[0].index <= index {
		p.inflightBytes -= p.inflight[0].bytes
		p.inflight = p.inflight[1:]
	}
}

func (p *progress) becomeProbing(next uint64) {
	p.state, p.next, p.probeSent = PeerProbing, max(next, p.match+1), false
	p.inflight, p.inflightBytes, p.snapshot = nil, 0, Snapshot{}
}

func (p *progress) becomeReplicating(next uint64) {
	p.becomeProbing(next)
	p.state = PeerReplicating
}

func (p *progress) becomeSnapshotting(s Snapshot) {
	p.becomeProbing(p.match + 1)
	p.state, p.snapshot, p.snapshotOffset = PeerSnapshotting, s, 0
}
