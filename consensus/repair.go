package consensus

// replacementSilenceTicks is how long a voter must be silent before a member with the same name may replace it.
// Otherwise two live members with the same name would keep replacing each other.
const replacementSilenceTicks = 20

// liveSilenceTicks is how long a member may be silent and still count as live, which is two heartbeats and a half.
const liveSilenceTicks = 5

// NextRepair returns the next membership change that a leader should make, or false if there is none. A learner that
// rejoined with a new ID under the name of a voter replaces that voter. A standby learner, or a former voter that
// rejoined as a learner, replaces a voter that has been silent, or has acknowledged none of the entries that it lacks, for
// replaceAfter ticks; 0 disables this. That voter is removed first, once a learner that has caught up is available: promoting the
// learner first would require more live voters than before, and a second failure would lose the quorum. A change that the live members
// cannot commit is not made: it is in effect at once, and no other could follow it.
func NextRepair(s Status, replaceAfter uint64) (Change, bool) {
	if s.Role != RoleLeader || !s.ConfigurationCommitted {
		return Change{}, false
	}
	voters, target := len(s.Configuration.Voters()), int(s.Configuration.Target)
	learner, promotable := promotableLearner(s)
	if voters < target {
		change := Change{Kind: ChangePromote, Member: learner.Member}
		return change, promotable && s.canCommit(change)
	}
	lost, ok := longestLostVoter(s, replaceAfter)
	change := Change{Kind: ChangeRemove, Member: lost.Member}
	return change, ok && (promotable || voters > target) && s.canCommit(change)
}

// canCommit reports whether the live members are a quorum of the voters after a change.
func (s Status) canCommit(change Change) bool {
	voters, live := 0, 0
	for _, p := range s.Peers {
		votes := p.Voter
		if p.ID == change.Member.ID {
			votes = change.Kind == ChangePromote
		}
		if !votes {
			continue
		}
		voters++
		if p.ID == s.ID || p.lostTicks() <= liveSilenceTicks {
			live++
		}
	}
	return 2*live > voters
}

// promotableLearner returns a learner that has caught up, preferably one that is not a standby.
func promotableLearner(s Status) (PeerStatus, bool) {
	var found PeerStatus
	for _, p := range s.Peers {
		if !p.Voter && p.CaughtUp && (found.ID == 0 || found.Standing && !p.Standing) {
			found = p
		}
	}
	return found, found.ID != 0
}

// longestLostVoter returns the replaceable voter that has been silent or stalled for longest.
func longestLostVoter(s Status, replaceAfter uint64) (PeerStatus, bool) {
	var longest PeerStatus
	for _, p := range s.Peers {
		replaceable := hasReplacement(s, p) || replaceAfter > 0 && p.lostTicks() >= replaceAfter
		if p.Voter && p.ID != s.ID && replaceable && p.lostTicks() >= longest.lostTicks() {
			longest = p
		}
	}
	return longest, longest.ID != 0
}

// lostTicks is how long a peer has been of no use for the quorum.
func (p PeerStatus) lostTicks() uint64 { return max(p.SilentTicks, p.StalledTicks) }

// hasReplacement reports whether a member that has caught up joined after a silent voter under the voter's name.
func hasReplacement(s Status, voter PeerStatus) bool {
	joinedEarlier := true
	for _, p := range s.Peers {
		if p.ID == voter.ID {
			joinedEarlier = false
			continue
		}
		if !joinedEarlier && p.Name == voter.Name && p.CaughtUp && voter.SilentTicks >= replacementSilenceTicks {
			return true
		}
	}
	return false
}
