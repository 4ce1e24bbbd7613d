package control

import (
	"context"
	"time"

	"burdocksaddle/catalog"
	"burdocksaddle/quorum"
)

// proofsPerLease is how often a member proves the quorum within one lease.
const proofsPerLease = 8

// proof is when the member last knew that it had applied all that was committed.
type proof struct {
	at time.Time
	// begun counts the tries, round is the last try that succeeded.
	begun uint64
	round uint64
	done  chan struct{}
	want  chan struct{}
}

func newProof() proof {
	return proof{done: make(chan struct{}), want: make(chan struct{}, 1)}
}

// prove is the duty that keeps the proof of the quorum fresh.
func (m *Member) prove(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			start, round := m.begin()
			if err := m.reach(ctx); err == nil {
				m.proven(start, round)
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

func (m *Member) begin() (start time.Time, round uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.proof.begun++
	return time.Now(), m.proof.begun
}

func (m *Member) proven(start time.Time, round uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.proof.at, m.proof.round = start, round
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

// nextProof returns the first round that begins after the call.
func (m *Member) nextProof() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.proof.begun + 1
}

func (m *Member) provenSince(round uint64) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.proof.round >= round
}

// Current returns once the member has proven the quorum after the call; it fails with quorum.ErrNoQuorum.
func (m *Member) Current(ctx context.Context) error {
	for next := m.nextProof(); ; {
		done := m.proofs()
		if m.provenSince(next) {
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

// Read returns the catalog with all that was accepted before the call; it fails with quorum.ErrNoQuorum.
func (m *Member) Read(ctx context.Context) (catalog.Catalog, error) {
	if err := m.Current(ctx); err != nil {
		return catalog.Catalog{}, err
	}
	return m.Catalog(), nil
}

// vouch returns the lease that the last proof allows, and whether nodes had better ask another member.
func (m *Member) vouch(now time.Time) (lease time.Duration, stale bool) {
	age := now.Sub(m.proof.at)
	return max(0, m.lease-age), age > m.lease/2
}
