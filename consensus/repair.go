package consensus

// replacedTicks is how long a voter must be silent before a member of its name may replace it, so that two live members
// under one name don't drive each other out in turns.
const replacedTicks = 20

// Repair returns the next change that a leader should make of its members, false if none. A learner that came back with
// a new identity under a voter's name takes that voter's place; a standing learner takes the place of a voter that was
// silent for replaceAfter ticks, 0 never; so does a former voter that came back as a learner. The gone voter is removed first, once a learner that caught up is there to
// follow it: promoting first would ask for more live voters than before, and a second loss would end the quorum.
func Repair(s Status, replaceAfter uint64) (Change, bool) {
	if s.Role != RoleLeader || !s.ConfigurationSafe {
		return Change{}, false
	}
	voters, target := len(s.Configuration.Voters()), int(s.Configuration.Target)
	learner, follows := ready(s)
	if voters < target {
		return Change{Kind: ChangePromote, Member: learner.Member}, follows
	}
	gone, ok := mostSilent(s, replaceAfter)
	return Change{Kind: ChangeRemove, Member: gone.Member}, ok && (follows || voters > target)
}

// ready returns a learner that caught up, one that is not a standing one first.
func ready(s Status) (PeerStatus, bool) {
	var found PeerStatus
	for _, p := range s.Peers {
		if !p.Voter && p.CaughtUp && (found.ID == 0 || found.Standing && !p.Standing) {
			found = p
		}
	}
	return found, found.ID != 0
}

// mostSilent returns the voter that is gone for longest.
func mostSilent(s Status, replaceAfter uint64) (PeerStatus, bool) {
	var gone PeerStatus
	for _, p := range s.Peers {
		out := replaced(s, p) || replaceAfter > 0 && p.SilentTicks >= replaceAfter
		if p.Voter && p.ID != s.ID && out && p.SilentTicks >= gone.SilentTicks {
			gone = p
		}
	}
	return gone, gone.ID != 0
}

// replaced tells whether a silent voter's name has joined again under another identity.
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
