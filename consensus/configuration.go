package consensus

import "slices"

// Member is one member of a group; ID is random and names one data folder.
type Member struct {
	ID      uint64
	Name    string
	Address string
	Voter   bool
	// Standing learners replace voters that stay gone.
	Standing bool
}

// Configuration lists the members of a group in the order of their joining; it is never changed in place.
type Configuration struct {
	Group uint64
	// Target is the number of voters that the group aims at.
	Target  uint32
	Members []Member
}

// Member returns the member with an id.
func (c Configuration) Member(id uint64) (Member, bool) {
	at := c.at(id)
	if at < 0 {
		return Member{}, false
	}
	return c.Members[at], true
}

// Voters returns the ids of the voters.
func (c Configuration) Voters() []uint64 {
	var ids []uint64
	for _, m := range c.Members {
		if m.Voter {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// IsVoter tells whether an id votes.
func (c Configuration) IsVoter(id uint64) bool {
	m, ok := c.Member(id)
	return ok && m.Voter
}

// WithMember returns the configuration with a member added, or replaced in its place.
func (c Configuration) WithMember(member Member) Configuration {
	members := slices.Clone(c.Members)
	if at := c.at(member.ID); at >= 0 {
		members[at] = member
	} else {
		members = append(members, member)
	}
	c.Members = members
	return c
}

// WithoutMember returns the configuration without a member.
func (c Configuration) WithoutMember(id uint64) Configuration {
	c.Members = slices.DeleteFunc(slices.Clone(c.Members), func(m Member) bool { return m.ID == id })
	return c
}

func (c Configuration) at(id uint64) int {
	return slices.IndexFunc(c.Members, func(m Member) bool { return m.ID == id })
}

// votersChanged counts the voters that only one of two configurations has.
func votersChanged(a, b Configuration) int {
	changed := 0
	for _, id := range a.Voters() {
		if !b.IsVoter(id) {
			changed++
		}
	}
	for _, id := range b.Voters() {
		if !a.IsVoter(id) {
			changed++
		}
	}
	return changed
}

// quorumValue returns the largest value that a quorum of the voters has reached, 0 without voters.
func (c Configuration) quorumValue(value func(id uint64) uint64) uint64 {
	var values []uint64
	for _, m := range c.Members {
		if m.Voter {
			values = append(values, value(m.ID))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
