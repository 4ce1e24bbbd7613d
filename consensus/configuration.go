package consensus

import "slices"

// Transition is how a member's vote changes by a joint configuration.
type Transition uint8

// A member in transition votes either in the next or in the previous configuration only.
const (
	TransitionNone Transition = iota
	// TransitionJoining members gain a vote.
	TransitionJoining
	// TransitionDemoted members lose their vote and remain as learners.
	TransitionDemoted
	// TransitionRemoved members are no members in the next configuration.
	TransitionRemoved
	transitionEnd
)

// Member is a member of a group. ID is random and belongs to exactly one data directory.
type Member struct {
	ID      uint64
	Name    string
	Address string
	// Voter is set for members that vote in the previous or the next configuration, or both.
	Voter      bool
	Transition Transition
	// Standing marks a standby learner, which replaces a voter that stays unavailable.
	Standing bool
}

// votedBefore reports whether the member votes in the previous configuration.
func (m Member) votedBefore() bool { return m.Voter && m.Transition != TransitionJoining }

// RetainsVote reports whether the member votes in the next configuration.
func (m Member) RetainsVote() bool {
	return m.Voter && (m.Transition == TransitionNone || m.Transition == TransitionJoining)
}

// Configuration lists the members of a group in join order. It is immutable: modifications return a new value.
//
// While a joint configuration is in effect, every decision needs a quorum of the previous voters and one of the next. So a change that cannot
// be committed takes nothing from the group, and neither quorum depends on a member that has only just gained its vote.
type Configuration struct {
	Group uint64
	// Target is the intended number of voters.
	Target  uint32
	Members []Member
}

// Member returns the member with the given ID and whether it exists.
func (c Configuration) Member(id uint64) (Member, bool) {
	at := c.indexOf(id)
	if at < 0 {
		return Member{}, false
	}
	return c.Members[at], true
}

// Voters returns the IDs of the voters.
func (c Configuration) Voters() []uint64 {
	var ids []uint64
	for _, m := range c.Members {
		if m.Voter {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// IsVoter reports whether the member with the given ID is a voter.
func (c Configuration) IsVoter(id uint64) bool {
	m, ok := c.Member(id)
	return ok && m.Voter
}

// WithMember returns a copy of the configuration with the member added, or replaced in place if its ID is present.
func (c Configuration) WithMember(member Member) Configuration {
	members := slices.Clone(c.Members)
	if at := c.indexOf(member.ID); at >= 0 {
		members[at] = member
	} else {
		members = append(members, member)
	}
	c.Members = members
	return c
}

// WithoutMember returns a copy of the configuration without the member with the given ID.
func (c Configuration) WithoutMember(id uint64) Configuration {
	c.Members = slices.DeleteFunc(slices.Clone(c.Members), func(m Member) bool { return m.ID == id })
	return c
}

func (c Configuration) indexOf(id uint64) int {
	return slices.IndexFunc(c.Members, func(m Member) bool { return m.ID == id })
}

// IsJoint reports whether decisions need a quorum of the previous voters, too.
func (c Configuration) IsJoint() bool {
	return slices.ContainsFunc(c.Members, func(m Member) bool { return m.Transition != TransitionNone })
}

// Completed returns the configuration that follows a joint one.
func (c Configuration) Completed() Configuration {
	members := slices.DeleteFunc(slices.Clone(c.Members), func(m Member) bool { return m.Transition == TransitionRemoved })
	for i, m := range members {
		members[i].Voter, members[i].Transition = m.RetainsVote(), TransitionNone
	}
	c.Members = members
	return c
}

// StepTo returns the configuration to put into effect on the way from this one to next, neither of which is joint. That is next itself if every
// quorum of the present voters is one of the next, which holds where an even number of voters changes by one, and else a joint configuration.
func (c Configuration) StepTo(next Configuration) Configuration {
	before, after := c.Voters(), next.Voters()
	retained := 0
	for _, id := range before {
		if next.IsVoter(id) {
			retained++
		}
	}
	if changed := len(before) + len(after) - 2*retained; changed == 0 || changed == 1 && len(before)%2 == 0 {
		return next
	}
	joint := next
	joint.Members = nil
	for _, m := range c.Members {
		following, remains := next.Member(m.ID)
		switch {
		case remains:
			joint.Members = append(joint.Members, following.withTransitionFrom(m))
		case m.Voter:
			m.Transition = TransitionRemoved
			joint.Members = append(joint.Members, m)
		}
	}
	for _, m := range next.Members {
		if _, known := c.Member(m.ID); !known {
			joint.Members = append(joint.Members, m.withTransitionFrom(Member{}))
		}
	}
	return joint
}

// withTransitionFrom returns the member in a joint configuration, given its state in the previous one.
func (m Member) withTransitionFrom(previous Member) Member {
	switch {
	case m.Voter && !previous.Voter:
		m.Transition = TransitionJoining
	case !m.Voter && previous.Voter:
		m.Voter, m.Transition = true, TransitionDemoted
	}
	return m
}

// quorumValue returns the largest value that a quorum of the voters has reached, of the previous and of the next voters, or 0 if there are no
// voters.
func (c Configuration) quorumValue(value func(id uint64) uint64) uint64 {
	var before, next []uint64
	for _, m := range c.Members {
		if !m.Voter {
			continue
		}
		v := value(m.ID)
		if m.votedBefore() {
			before = append(before, v)
		}
		if m.RetainsVote() {
			next = append(next, v)
		}
	}
	return min(majorityValue(before), majorityValue(next))
}

// HasQuorum reports whether some members are a quorum.
func (c Configuration) HasQuorum(members map[uint64]bool) bool {
	return c.quorumValue(func(id uint64) uint64 {
		if members[id] {
			return 1
		}
		return 0
	}) == 1
}

// majorityValue returns the largest value that a majority has reached, or 0 if there are no values.
func majorityValue(values []uint64) uint64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
