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

// maxChangeTicks is how long a membership change may take before the leader logs it as slow.
const maxChangeTicks = 5

// logChange logs a membership change that is not committed for long, and when it is committed or the leadership is lost.
func (s *stepper) logChange(status consensus.Status) {
	switch changing := status.Role == consensus.RoleLeader && !status.ConfigurationCommitted; {
	case changing && s.changeSince == 0:
		s.changeSince = s.ticks
	case changing && s.ticks-s.changeSince == maxChangeTicks:
		s.log.Info("membership change is not committed", "member", s.id, "voters", len(status.Configuration.Voters()), "last", status.Last,
			"committed", status.Committed, "ms", (maxChangeTicks * s.tick).Milliseconds())
	case !changing && s.changeSince != 0:
		s.log.Info("membership change ended", "member", s.id, "committed", status.ConfigurationCommitted, "leader", status.Role == consensus.RoleLeader,
			"voters", len(status.Configuration.Voters()), "ms", (time.Duration(s.ticks-s.changeSince) * s.tick).Milliseconds())
		s.changeSince = 0
	}
}
