package control

import (
	"context"
	"time"

	"burdocksaddle/quorum"
)

// proofsPerLease is how often a member proves the quorum within one lease.
const proofsPerLease = 8

// proof is when the member last knew that it had applied all that was committed.
type proof struct {
	at   time.Time
	done chan struct{}
	want chan struct{}
}

func newProof() proof {
	return proof{done: make(chan struct{}), want: make(chan struct{}, 1)}
}

// prove is the duty that keeps the proof of the quorum fresh.
func (m *Member) prove(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			start := time.Now()
			if err := m.reach(ctx); err == nil {
				m.proven(start)
			} else if ctx.Err() == nil {
				m.log.V(1).Info("quorum not proven", "error", err.Error())
			}
			m.observe(time.Now())
			select {
			case <-ctx.Done():
			case <-m.proof.want:
			case <-time.After(m.lease / proofsPerLease):
			}
		}
		ended <- nil
	}()
	return ended
}

// reach returns once the member has applied all that was committed when it was called.
func (m *Member) reach(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, m.lease/4)
	defer cancel()
	if _, err := m.shared.Barrier(ctx); err != nil {
		return err
	}
	// A removed member must not renew leases, since nobody asks it what its nodes confirmed.
	if !m.isMember(m.name) {
		return quorum.ErrNoQuorum{Reason: m.name + " is no member"}
	}
	return nil
}

func (m *Member) isMember(name string) bool {
	for _, member := range m.shared.Members() {
		if member.Name == name {
			return true
		}
	}
	return false
}

func (m *Member) proven(start time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.proof.at = start
	close(m.proof.done)
	m.proof.done = make(chan struct{})
}

// proofs returns a channel that closes at the next proof.
func (m *Member) proofs() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.proof.done
}

// askProof makes the duty prove at once.
func (m *Member) askProof() {
	select {
	case m.proof.want <- struct{}{}:
	default:
	}
}

// provenAt returns when the last proof began.
func (m *Member) provenAt() time.Time {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.proof.at
}

// Current returns once the member has proven the quorum after the call; it fails with quorum.ErrNoQuorum.
func (m *Member) Current(ctx context.Context) error {
	start := time.Now()
	for {
		done := m.proofs()
		if m.provenAt().After(start) {
			return nil
		}
		m.askProof()
		select {
		case <-ctx.Done():
			return quorum.ErrNoQuorum{Reason: "no proof by " + m.name + " in time"}
		case <-done:
		}
	}
}

// vouch returns the lease that the last proof allows, and whether nodes had better ask another member.
func (m *Member) vouch(now time.Time) (lease time.Duration, stale bool) {
	age := now.Sub(m.proof.at)
	return max(0, m.lease-age), age > m.lease/2
}
