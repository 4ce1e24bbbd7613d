package consensus

// ChangeKind tells what a change does with a member.
type ChangeKind uint8

// A learner takes the place of learners of the same name; one voter at a time is promoted or removed; an address may move.
const (
	ChangeAddLearner ChangeKind = iota + 1
	ChangePromote
	ChangeRemove
	ChangeAddress
)

// Change is one change of the members.
type Change struct {
	Kind   ChangeKind
	Member Member
}

// caughtUpEntries is how far behind the leader a learner may be and still become a voter.
const caughtUpEntries = 100

// ProposeChange appends a change of the members, one at a time; it fails with ErrNotLeader, ErrTransferring or
// ErrChangeRefused, nothing taken in.
func (c *Core) ProposeChange(change Change) error {
	switch {
	case c.role != RoleLeader:
		return ErrNotLeader{Leader: c.leader}
	case c.transferee != 0:
		return ErrTransferring{To: c.transferee}
	case !c.committedInTerm():
		return ErrChangeRefused{Member: change.Member.ID, Reason: "nothing of this term is committed yet"}
	case c.log.configuration().index > c.log.committed:
		return ErrChangeRefused{Member: change.Member.ID, Reason: "the last change is not committed yet"}
	}
	next, err := c.changed(change)
	if err != nil {
		return err
	}
	if votersChanged(c.configuration(), next) > 1 {
		c.broken("one voter changes at a time", c.log.last(), "")
	}
	c.appendOwn(ConfigurationEntry(0, 0, next))
	return nil
}

func (c *Core) changed(change Change) (Configuration, error) {
	current, member := c.configuration(), change.Member
	present, known := current.Member(member.ID)
	refuse := func(reason string) (Configuration, error) {
		return Configuration{}, ErrChangeRefused{Member: member.ID, Reason: reason}
	}
	switch change.Kind {
	case ChangeAddLearner:
		if known && present.Voter || member.ID == 0 {
			return refuse("no new member")
		}
		for _, m := range current.Members {
			if m.Name == member.Name && !m.Voter && m.ID != member.ID {
				current = current.WithoutMember(m.ID)
			}
		}
		member.Voter = false
		return current.WithMember(member), nil
	case ChangePromote:
		if !known || present.Voter {
			return refuse("no learner")
		}
		if !c.caughtUp(member.ID) {
			return refuse("it lags behind")
		}
		present.Voter, present.Standing = true, false
		return current.WithMember(present), nil
	case ChangeRemove:
		if !known || present.Voter && len(current.Voters()) == 1 {
			return refuse("no member that can be spared")
		}
		return current.WithoutMember(member.ID), nil
	}
	if !known {
		return refuse("no member")
	}
	present.Address = member.Address
	return current.WithMember(present), nil
}

func (c *Core) caughtUp(peer uint64) bool {
	p := c.peers[peer]
	return p != nil && p.state == PeerReplicating && p.match+caughtUpEntries >= c.log.last() && p.match > 0 &&
		c.tick-p.heardTick < c.config.ElectionTicks
}
