package consensus

import "slices"

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
// caught up. A replacement is one change, so that the group has neither fewer voters meanwhile, nor one that may be lost already. For the same
// reason an odd number of voters grows by two.
//
// A change that the live members cannot commit is not made, as another one would have to wait for it.
//
// A leader does not give up its own vote, unless it is the only voter; it hands over the leadership first. A learner that has been silent for
// replaceAfter ticks is removed; it may join again.
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
	lost, isLost := longestLostVoter(s, replaceAfter)
	leaving, isLeaving := leavingVoter(s)
	if target > 0 && voters > target {
		if isLost {
			return Change{Kind: ChangeRemove, Member: lost.Member}, true
		}
		return s.demoteSurplus(leaving)
	}
	learners := promotableLearners(s)
	if len(learners) == 0 {
		return Change{}, false
	}
	learner := learners[0].Member
	switch {
	case voters < target && voters%2 == 0:
		return Change{Kind: ChangePromote, Member: learner}, true
	case isLost:
		return Change{Kind: ChangeReplace, Member: lost.Member, Successor: learner}, true
	case isLeaving && (leaving.ID != s.ID || voters == 1):
		if s.hasRejoined(leaving) {
			return Change{Kind: ChangeReplace, Member: leaving.Member, Successor: learner}, true
		}
		return Change{Kind: ChangeRelieve, Member: leaving.Member, Successor: learner}, true
	case voters+1 < target && len(learners) > 1:
		return Change{Kind: ChangePromotePair, Member: learner, Successor: learners[1].Member}, true
	case voters+1 == target:
		return Change{Kind: ChangePromote, Member: learner}, true
	}
	return Change{}, false
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

// canCommit reports whether the live members are a quorum of the voters that have to commit a change.
func (s Status) canCommit(change Change) bool {
	live := map[uint64]bool{s.ID: true}
	for _, p := range s.Peers {
		live[p.ID] = live[p.ID] || p.isLive()
	}
	return s.Configuration.StepTo(s.Configuration.WithChange(change)).HasQuorum(live)
}

// promotableLearners returns the live learners that have caught up and stay, those that are standbys last.
func promotableLearners(s Status) []PeerStatus {
	learners := slices.DeleteFunc(slices.Clone(s.Peers), func(p PeerStatus) bool { return p.Voter || !p.CaughtUp || !p.staysLive() })
	slices.SortStableFunc(learners, func(a, b PeerStatus) int {
		switch {
		case a.Standing == b.Standing:
			return 0
		case b.Standing:
			return -1
		}
		return 1
	})
	return learners
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
	return voter.SilentTicks >= replacementSilenceTicks && s.hasRejoined(voter)
}

// hasRejoined reports whether a member that has caught up joined after a voter under the voter's name.
func (s Status) hasRejoined(voter PeerStatus) bool {
	joinedEarlier := true
	for _, p := range s.Peers {
		if p.ID == voter.ID {
			joinedEarlier = false
		} else if !joinedEarlier && p.Name == voter.Name && p.CaughtUp {
			return true
		}
	}
	return false
}
