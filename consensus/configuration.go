package consensus

import "slices"

// Member is a member of a group. ID is random and belongs to exactly one data directory.
type Member struct {
	ID      uint64
	Name    string
	Address string
	Voter   bool
	// Standing marks a standby learner, which replaces a voter that stays unavailable.
	Standing bool
}

// Configuration lists the members of a group in join order. It is immutable: modifications return a new value.
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

// votersChanged counts the voters that are in only one of the two configurations.
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

// quorumValue returns the largest value that a quorum of the voters has reached, or 0 if there are no voters.
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
