package quorum

import (
	"math"
	"time"

	"burdocksaddle/consensus"
)

// MemberStatus is one member as the leader sees it; SilentFor is 0 for the leader itself.
type MemberStatus struct {
	ID        uint64
	Name      string
	Address   string
	Voter     bool
	Leader    bool
	Match     uint64
	Lag       uint64
	SilentFor time.Duration
}

// view is what the step loop last published of the core.
type view struct {
	at            time.Time
	status        consensus.Status
	leaderAddress string
}

// A tick that is under way counts as passed: one on the leader, and one more on a follower that heard of it.
const (
	leaderProofSlack   = 1
	followerProofSlack = 2
)

func (l *Log) publish() {
	status := l.core.Status()
	l.view.Store(&view{at: time.Now(), status: status, leaderAddress: l.peers.address(status.Configuration, status.Leader)})
}

// Vouch returns the age of the last proof of a quorum that this member holds, NoProof without any. A follower's proof is
// its leader's, no older than the reply of this member that the leader has answered.
func (l *Log) Vouch() time.Duration {
	v := l.view.Load()
	select {
	case <-l.stopped:
		return NoProof
	default:
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

// Leader returns the leader's address, empty while none is known, and whether it is this member.
func (l *Log) Leader() (address string, self bool) {
	v := l.view.Load()
	return v.leaderAddress, v.status.Role == consensus.RoleLeader
}

// Members returns the members in the order of their joining; Match, Lag and SilentFor are known on the leader only.
func (l *Log) Members() []MemberStatus {
	v := l.view.Load()
	leads := v.status.Role == consensus.RoleLeader
	var members []MemberStatus
	for _, p := range v.status.Peers {
		m := MemberStatus{ID: p.ID, Name: p.Name, Address: p.Address, Voter: p.Voter, Leader: p.ID == v.status.Leader}
		if leads {
			m.Match, m.Lag = p.Match, v.status.Last-min(p.Match, v.status.Last)
			m.SilentFor = time.Duration(p.SilentTicks) * l.tick
		}
		members = append(members, m)
	}
	return members
}

// Term returns the term that this member is in, which no two leaders share.
func (l *Log) Term() uint64 { return l.view.Load().status.Term }
