package consensus

// Repair returns the next change that a leader should make of its members, false if none. A learner that came back with
// a new identity under a voter's name takes that voter's place; a standing learner takes the place of a voter that was
// silent for replaceAfter ticks, 0 never; the replaced voter goes last, so that no fault in between costs a copy.
func Repair(s Status, replaceAfter uint64) (Change, bool) {
	if s.Role != RoleLeader || !s.ConfigurationSafe {
		return Change{}, false
	}
	voters, gone := 0, PeerStatus{}
	for _, p := range s.Peers {
		if !p.Voter {
			continue
		}
		voters++
		out := replaced(s, p) || replaceAfter > 0 && p.SilentTicks >= replaceAfter
		if p.ID != s.ID && out && p.SilentTicks >= gone.SilentTicks {
			gone = p
		}
	}
	if voters > int(s.Configuration.Target) && gone.ID != 0 {
		return Change{Kind: ChangeRemove, Member: gone.Member}, true
	}
	for _, p := range s.Peers {
		if p.Voter || !p.CaughtUp || voters > int(s.Configuration.Target) {
			continue
		}
		missing := voters < int(s.Configuration.Target)
		if missing || gone.ID != 0 && (p.Standing || p.Name == gone.Name) {
			return Change{Kind: ChangePromote, Member: p.Member}, true
		}
	}
	return Change{}, false
}

// replacedTicks is how long a voter must be silent before a member of its name may replace it, so that two live members
// under one name don't drive each other out in turns.
const replacedTicks = 20

// replaced tells whether a voter's name has joined again under another identity.
func replaced(s Status, voter PeerStatus) bool {
	older := true
	for _, p := range s.Peers {
		if p.ID == voter.ID {
			older = false
			continue
		}
		if !older && p.Name == voter.Name && p.CaughtUp && voter.SilentTicks >= replacedTicks {
			return true
		}
	}
	return false
}
