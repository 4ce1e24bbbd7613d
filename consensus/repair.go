package consensus

// replacementSilenceTicks is how long a voter must be silent before a member with the same name may replace it.
// Otherwise two live members with the same name would keep replacing each other.
const replacementSilenceTicks = 20

// liveSilenceTicks is how long a member may be silent and still count as live, which is two heartbeats and a half.
const liveSilenceTicks = 5

// NextRepair returns the next membership change that a leader should make, or false if there is none. There are as many voters as
// Configuration.Target if enough members stay: neither lost nor about to stop.
//
// A voter is lost if it has been silent, or has acknowledged none of the entries that it lacks, for replaceAfter ticks, or if a member with
// a new ID has joined under its name; 0 disables the former. Voters that are lost, or about to stop, are replaced by learners that have
// caught up. At no step does the group bear fewer further losses than before:
//   - A voter that is lost is removed before its successor is promoted. Promoting the successor first would require more live voters than
//     before, and its loss would lose the quorum.
//   - A voter that is about to stop is demoted only after its successor was promoted. It can still vote, or may soon be back, and a smaller
//     group bears fewer losses.
//   - A change that the live members cannot commit is not made: it is in effect at once, and no other could follow it.
//
// A leader does not demote itself; it hands over the leadership first. A learner that has been silent for replaceAfter ticks is removed;
// it may join again.
func NextRepair(s Status, replaceAfter uint64) (Change, bool) {
	if s.Role != RoleLeader || !s.ConfigurationCommitted {
		return Change{}, false
	}
	change, ok := s.nextVoterChange(replaceAfter)
	if !ok {
		change, ok = s.lostLearner(replaceAfter)
	}
	return change, ok && s.canCommit(change)
}

func (s Status) nextVoterChange(replaceAfter uint64) (Change, bool) {
	voters, target := len(s.Configuration.Voters()), int(s.Configuration.Target)
	learner, promotable := promotableLearner(s)
	promote := Change{Kind: ChangePromote, Member: learner.Member}
	if voters < target {
		return promote, promotable
	}
	surplus := target > 0 && voters > target
	lost, isLost := longestLostVoter(s, replaceAfter)
	leaving, isLeaving := leavingVoter(s)
	switch {
	case isLost && (promotable || surplus):
		return Change{Kind: ChangeRemove, Member: lost.Member}, true
	case surplus:
		return s.demoteSurplus(leaving)
	}
	return promote, promotable && isLeaving
}

// demoteSurplus returns the change that reduces the voters to their target: it demotes one that is about to stop, else the last one that joined.
func (s Status) demoteSurplus(leaving PeerStatus) (Change, bool) {
	found := leaving
	if found.ID == 0 {
		for _, p := range s.Peers {
			if !p.isLive() {
				return Change{}, false // it may be lost, and is to be removed then
			}
			if p.Voter && p.ID != s.ID {
				found = p
			}
		}
	}
	return Change{Kind: ChangeDemote, Member: found.Member}, found.ID != 0 && found.ID != s.ID
}

// lostLearner returns the change that removes a learner that has been silent for replaceAfter ticks.
func (s Status) lostLearner(replaceAfter uint64) (Change, bool) {
	for _, p := range s.Peers {
		if replaceAfter > 0 && !p.Voter && p.SilentTicks >= replaceAfter {
			return Change{Kind: ChangeRemove, Member: p.Member}, true
		}
	}
	return Change{}, false
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
		if p.ID == s.ID || p.isLive() {
			live++
		}
	}
	return 2*live > voters
}

// promotableLearner returns a live learner that has caught up and stays, preferably one that is not a standby.
func promotableLearner(s Status) (PeerStatus, bool) {
	var found PeerStatus
	for _, p := range s.Peers {
		if !p.Voter && p.CaughtUp && p.staysLive() && (found.ID == 0 || found.Standing && !p.Standing) {
			found = p
		}
	}
	return found, found.ID != 0
}

// leavingVoter returns a voter that is about to stop, or has stopped after it said so. One that is gone comes first, the leader itself last.
func leavingVoter(s Status) (PeerStatus, bool) {
	var found PeerStatus
	for _, p := range s.Peers {
		if p.Voter && p.Leaving && (found.ID == 0 || found.ID == s.ID || p.ID != s.ID && p.SilentTicks > found.SilentTicks) {
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

// isLive reports whether a peer has answered the last heartbeats and acknowledges entries.
func (p PeerStatus) isLive() bool { return p.lostTicks() <= liveSilenceTicks }

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
