package consensus

// ChangeKind identifies an operation on the membership of a group.
type ChangeKind uint8

// Membership changes. Adding a learner removes other learners with the same name. One voter at a time is promoted or
// removed, or demoted to a learner; the address of a member can be updated.
const (
	ChangeAddLearner ChangeKind = iota + 1
	ChangePromote
	ChangeRemove
	ChangeAddress
	ChangeDemote
)

// Change describes one membership change.
type Change struct {
	Kind   ChangeKind
	Member Member
}

// maxPromotionLag is how many entries a learner may trail the leader by and still be promoted to voter.
const maxPromotionLag = 100

// ProposeChange appends a configuration entry for the change. Only one change may be in progress at a time. It fails
// without side effects with ErrNotLeader, ErrTransferring or ErrChangeRefused.
func (c *Core) ProposeChange(change Change) error {
	switch {
	case c.role != RoleLeader:
		return ErrNotLeader{Leader: c.leader}
	case c.transferee != 0:
		return ErrTransferring{To: c.transferee}
	case !c.hasCommittedInTerm():
		return ErrChangeRefused{Member: change.Member.ID, Reason: "nothing of this term is committed yet"}
	case c.log.configuration().index > c.log.committed:
		return ErrChangeRefused{Member: change.Member.ID, Reason: "the last change is not committed yet"}
	}
	next, err := c.nextConfiguration(change)
	if err != nil {
		return err
	}
	if votersChanged(c.configuration(), next) > 1 {
		c.failInvariant("one voter changes at a time", c.log.lastIndex(), "")
	}
	c.appendAsLeader(ConfigurationEntry(0, 0, next))
	return nil
}

// CanChange reports whether this member leads, and may propose a membership change.
func (c *Core) CanChange() bool {
	return c.role == RoleLeader && c.transferee == 0 && c.hasCommittedInTerm() && c.log.configuration().index <= c.log.committed
}

func (c *Core) nextConfiguration(change Change) (Configuration, error) {
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
			return refuse("not a learner")
		}
		if !c.caughtUp(member.ID) {
			return refuse("the learner has not caught up")
		}
		present.Voter, present.Standing = true, false
		return current.WithMember(present), nil
	case ChangeRemove:
		if !known || present.Voter && len(current.Voters()) == 1 {
			return refuse("not a member, or the only voter")
		}
		return current.WithoutMember(member.ID), nil
	case ChangeDemote:
		if !present.Voter || len(current.Voters()) == 1 {
			return refuse("not a voter, or the only one")
		}
		present.Voter = false
		return current.WithMember(present), nil
	}
	if !known {
		return refuse("not a member")
	}
	present.Address = member.Address
	return current.WithMember(present), nil
}

func (c *Core) caughtUp(peer uint64) bool {
	p := c.peers[peer]
	return p != nil && p.state == PeerReplicating && p.match+maxPromotionLag >= c.log.lastIndex() && p.match > 0 &&
		c.tick-p.lastReceivedTick < c.config.ElectionTicks
}
