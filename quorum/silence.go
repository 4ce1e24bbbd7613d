package quorum

import (
	"time"

	"burdocksaddle/consensus"
)

// silentTicks is how long a voter must be silent for the leader to log it.
const silentTicks = 20

// logSilence logs each voter that this leader no longer hears from, and each one that it hears from again.
func (s *stepper) logSilence(status consensus.Status) {
	if status.Role != consensus.RoleLeader {
		clear(s.silentVoters)
		return
	}
	standbys := 0
	for _, p := range status.Peers {
		if !p.Voter && p.CaughtUp {
			standbys++
		}
	}
	for _, p := range status.Peers {
		silent := p.Voter && p.ID != s.id && p.SilentTicks >= silentTicks
		if silent == s.silentVoters[p.ID] {
			continue
		}
		if silent {
			s.silentVoters[p.ID] = true
			s.log.Info("voter is silent", "address", p.Address, "member", p.ID, "match", p.Match, "last", status.Last, "standbys", standbys,
				"ms", (time.Duration(p.SilentTicks) * s.tick).Milliseconds())
			continue
		}
		delete(s.silentVoters, p.ID)
		s.log.Info("voter is heard again", "address", p.Address, "member", p.ID, "match", p.Match, "last", status.Last)
	}
}
