package quorum

import (
	"math"
	"time"

	"burdocksaddle/consensus"
)

// MemberStatus describes a member as seen by the leader; SilentFor is 0 for the leader itself.
type MemberStatus struct {
	ID      uint64
	Name    string
	Address string
	Voter   bool
	Leader  bool
	// Leaving reports whether the member is about to stop, or has stopped after it said so; only the leader knows.
	Leaving   bool
	Match     uint64
	Lag       uint64
	SilentFor time.Duration
}

// publishedStatus is the status of the core as last published by the step loop.
type publishedStatus struct {
	at            time.Time
	status        consensus.Status
	leaderAddress string
}

// Ticks added to the age of a proof, since a tick in progress counts as elapsed: one on the leader, and one more on a
// follower that received the leader's proof.
const (
	leaderProofSlack   = 1
	followerProofSlack = 2
)

func (l *Log) publish() {
	status := l.core.Status()
	if status.ProofAge != consensus.NoProof {
		proven := time.Now().Add(-time.Duration(status.ProofAge) * l.tick)
		if last := l.provenAt.Load(); last == nil || last.Before(proven) {
			l.provenAt.Store(&proven)
		}
	}
	l.published.Store(&publishedStatus{at: time.Now(), status: status, leaderAddress: l.peers.address(status.Configuration, status.Leader)})
}

// QuorumProofAge returns the age of the last proof of a quorum known to this member, or NoProof. A follower uses the
// proof of its leader, which is no older than the last reply of this member that the leader has answered. A member whose disk does
// not complete a write has no proof, as its leader soon sends it no more entries.
func (l *Log) QuorumProofAge() time.Duration {
	v := l.published.Load()
	if l.Stopped() || l.WriteAge() > maxWriteTicks*l.tick {
		return NoProof
	}
	age := v.status.ProofAge
	if age > math.MaxInt32 {
		return NoProof
	}
	slack := uint64(followerProofSlack)
	if v.status.Role == consensus.RoleLeader {
		slack = leaderProofSlack
	}
	return time.Duration(age+slack)*l.tick + time.Since(v.at)
}

// Leader returns the leader's address, which is empty if unknown, and whether this member is the leader. A member that has stopped
// knows no leader.
func (l *Log) Leader() (address string, self bool) {
	if l.Stopped() {
		return "", false
	}
	v := l.published.Load()
	return v.leaderAddress, v.status.Role == consensus.RoleLeader
}

// Members returns the members in join order; Leaving, Match, Lag and SilentFor are set only on the leader.
func (l *Log) Members() []MemberStatus {
	v := l.published.Load()
	isLeader := v.status.Role == consensus.RoleLeader
	var members []MemberStatus
	for _, p := range v.status.Peers {
		m := MemberStatus{ID: p.ID, Name: p.Name, Address: p.Address, Voter: p.Voter, Leader: p.ID == v.status.Leader}
		if isLeader {
			m.Match, m.Lag = p.Match, v.status.Last-min(p.Match, v.status.Last)
			m.Leaving = p.Leaving
			m.SilentFor = time.Duration(p.SilentTicks) * l.tick
		}
		members = append(members, m)
	}
	return members
}

// Term returns the current term of this member; a term has at most one leader.
func (l *Log) Term() uint64 { return l.published.Load().status.Term }

// Stopped reports whether the member has stopped.
func (l *Log) Stopped() bool {
	select {
	case <-l.stopped:
		return true
	default:
		return false
	}
}

// WriteAge returns how long the write in progress has taken so far, or 0 if there is none.
func (l *Log) WriteAge() time.Duration {
	since := l.writingSince.Load()
	if since == nil {
		return 0
	}
	return time.Since(*since)
}

// DiskBytes returns the size of the data directory as of the last write.
func (l *Log) DiskBytes() int64 { return l.diskBytes.Load() }
