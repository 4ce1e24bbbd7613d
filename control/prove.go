package control

import (
	"context"
	"time"

	"burdocksaddle/catalog"
	"burdocksaddle/quorum"
)

// proofsPerLease is the number of quorum proofs per lease length.
const proofsPerLease = 8

// quorumProof records when a quorum last confirmed that this member had applied all committed entries.
type quorumProof struct {
	provenAt time.Time
	// startedRounds counts the attempts; provenRound is the last successful one.
	startedRounds uint64
	provenRound   uint64
	// renewed is closed and replaced at each successful proof; requested starts a proof at once.
	renewed   chan struct{}
	requested chan struct{}
}

func newQuorumProof() quorumProof {
	return quorumProof{renewed: make(chan struct{}), requested: make(chan struct{}, 1)}
}

// proveLoop renews the quorum proof periodically and on request.
func (m *Member) proveLoop(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			start, round := m.beginProof()
			if err := m.proveQuorum(ctx); err == nil {
				m.recordProof(start, round)
			} else if ctx.Err() == nil {
				m.log.V(1).Info("quorum proof failed", "error", err.Error())
			}
			m.trackMembership(time.Now())
			select {
			case <-ctx.Done():
			case <-m.quorumProof.requested:
			case <-time.After(m.lease / proofsPerLease):
			}
		}
		ended <- nil
	}()
	return ended
}

// proveQuorum returns once the member has applied all entries that were committed at the time of the call.
func (m *Member) proveQuorum(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, m.lease/4)
	defer cancel()
	if _, err := m.replicatedLog.Barrier(ctx); err != nil {
		return err
	}
	// A removed member must not renew leases, because no one queries it for its nodes' confirmations.
	if !m.isMember(m.name) {
		return quorum.ErrNoQuorum{Reason: m.name + " is no member"}
	}
	return nil
}

func (m *Member) isMember(name string) bool {
	for _, member := range m.replicatedLog.Members() {
		if member.Name == name {
			return true
		}
	}
	return false
}

func (m *Member) beginProof() (start time.Time, round uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.quorumProof.startedRounds++
	return time.Now(), m.quorumProof.startedRounds
}

func (m *Member) recordProof(start time.Time, round uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.quorumProof.provenAt, m.quorumProof.provenRound = start, round
	close(m.quorumProof.renewed)
	m.quorumProof.renewed = make(chan struct{})
}

// proofSignal returns a channel that is closed at the next successful proof.
func (m *Member) proofSignal() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.quorumProof.renewed
}

// requestProof starts a proof without waiting for the next interval.
func (m *Member) requestProof() {
	select {
	case m.quorumProof.requested <- struct{}{}:
	default:
	}
}

// nextProofRound returns the first round that starts after the call.
func (m *Member) nextProofRound() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.quorumProof.startedRounds + 1
}

func (m *Member) provenSince(round uint64) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.quorumProof.provenRound >= round
}

// WaitForProof returns once a quorum proof that started after the call has succeeded. It fails with quorum.ErrNoQuorum.
func (m *Member) WaitForProof(ctx context.Context) error {
	for next := m.nextProofRound(); ; {
		done := m.proofSignal()
		if m.provenSince(next) {
			return nil
		}
		m.requestProof()
		select {
		case <-ctx.Done():
			return quorum.ErrNoQuorum{Reason: "no proof by " + m.name + " in time"}
		case <-done:
		}
	}
}

// Read returns a catalog that includes all changes accepted before the call. It fails with quorum.ErrNoQuorum.
func (m *Member) Read(ctx context.Context) (catalog.Catalog, error) {
	if err := m.WaitForProof(ctx); err != nil {
		return catalog.Catalog{}, err
	}
	return m.Catalog(), nil
}

// remainingLease returns the lease length that the last proof still allows, and whether the proof is so old that nodes
// should switch to another member.
func (m *Member) remainingLease(now time.Time) (lease time.Duration, stale bool) {
	age := now.Sub(m.quorumProof.provenAt)
	return max(0, m.lease-age), age > m.lease/2
}
