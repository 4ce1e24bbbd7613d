package consensus

import "errors"

// ChangeKind identifies an operation on the membership of a group.
type ChangeKind uint8

// Membership changes. Adding a learner removes other learners with the same name. Voters are promoted, removed, demoted to learners or replaced;
// the address of a member can be updated.
const (
	ChangeAddLearner ChangeKind = iota + 1
	ChangePromote
	ChangeRemove
	ChangeAddress
	ChangeDemote
	// ChangeReplace promotes Successor in the place of Member, which is removed.
	ChangeReplace
	// ChangeRelieve promotes Successor in the place of Member, which remains as a learner.
	ChangeRelieve
	// ChangePromotePair promotes both Member and Successor.
	ChangePromotePair
)

// String returns the name of the change in logs.
func (k ChangeKind) String() string {
	names := map[ChangeKind]string{
		ChangeAddLearner: "add learner", ChangePromote: "promote", ChangeRemove: "remove", ChangeAddress: "address", ChangeDemote: "demote",
		ChangeReplace: "replace", ChangeRelieve: "relieve", ChangePromotePair: "promote pair",
	}
	return names[k]
}

// Change describes one membership change.
type Change struct {
	Kind   ChangeKind
	Member Member
	// Successor is the second member of a change of two.
	Successor Member
}

// WithChange returns a copy of the configuration after a change that applies to it.
func (c Configuration) WithChange(change Change) Configuration {
	member, successor := change.Member, change.Successor
	switch change.Kind {
	case ChangeAddLearner:
		for _, m := range c.Members {
			if m.Name == member.Name && !m.Voter && m.ID != member.ID {
				c = c.WithoutMember(m.ID)
			}
		}
		member.Voter, member.Transition = false, TransitionNone
		return c.WithMember(member)
	case ChangePromote:
		return c.withVoter(member.ID, true)
	case ChangePromotePair:
		return c.withVoter(member.ID, true).withVoter(successor.ID, true)
	case ChangeRemove:
		return c.WithoutMember(member.ID)
	case ChangeDemote:
		return c.withVoter(member.ID, false)
	case ChangeReplace:
		return c.withVoter(successor.ID, true).WithoutMember(member.ID)
	case ChangeRelieve:
		return c.withVoter(successor.ID, true).withVoter(member.ID, false)
	case ChangeAddress:
		present, _ := c.Member(member.ID)
		present.Address = member.Address
		return c.WithMember(present)
	}
	return c
}

// withVoter returns a copy of the configuration in which a member votes, or does not. A voter is no standby.
func (c Configuration) withVoter(id uint64, votes bool) Configuration {
	m, _ := c.Member(id)
	m.Voter, m.Standing = votes, m.Standing && !votes
	return c.WithMember(m)
}

// maxPromotionLag is how many entries a learner may trail the leader by and still be promoted to voter.
const maxPromotionLag = 100

// ProposeChange appends a configuration entry for the change. If every quorum of the present voters is one afterwards, the change is in effect at
// once; else a joint configuration is, and the leader appends the next one when that is committed. Only one change may be in progress at a time.
// It fails without side effects with ErrNotLeader, ErrTransferring or ErrChangeRefused.
func (c *Core) ProposeChange(change Change) error {
	switch {
	case c.role != RoleLeader:
		return ErrNotLeader{Leader: c.leader}
	case c.transferee != 0:
		return ErrTransferring{To: c.transferee}
	case !c.hasCommittedInTerm():
		return ErrChangeRefused{Member: change.Member.ID, Reason: "nothing of this term is committed yet"}
	case c.changing():
		return ErrChangeRefused{Member: change.Member.ID, Reason: "the last change is not committed yet"}
	}
	if err := c.checkChange(change); err != nil {
		return err
	}
	current := c.configuration()
	c.appendAsLeader(ConfigurationEntry(0, 0, current.StepTo(current.WithChange(change))))
	return nil
}

// CanChange reports whether this member leads, and may propose a membership change.
func (c *Core) CanChange() bool {
	return c.role == RoleLeader && c.transferee == 0 && c.hasCommittedInTerm() && !c.changing()
}

// changing reports whether the latest configuration is joint or not committed.
func (c *Core) changing() bool {
	latest := c.log.configuration()
	return latest.index > c.log.committed || latest.configuration.IsJoint()
}

// completeChange appends the configuration that follows a joint one, once that is committed. A leader that hands over leaves this to the next.
func (c *Core) completeChange() {
	latest := c.log.configuration()
	if c.role != RoleLeader || c.transferee != 0 || !latest.configuration.IsJoint() || latest.index > c.log.committed || !c.hasCommittedInTerm() {
		return
	}
	c.appendAsLeader(ConfigurationEntry(0, 0, latest.configuration.Completed()))
}

// checkChange returns an ErrChangeRefused for a change that does not apply to the present members.
func (c *Core) checkChange(change Change) error {
	current := c.configuration()
	present, known := current.Member(change.Member.ID)
	refuse := func(reason string) error { return ErrChangeRefused{Member: change.Member.ID, Reason: reason} }
	switch change.Kind {
	case ChangeAddLearner:
		if known && present.Voter || change.Member.ID == 0 {
			return refuse("no new member")
		}
		return nil
	case ChangePromote:
		return c.checkPromotion(change.Member.ID)
	case ChangePromotePair:
		if change.Member.ID == change.Successor.ID {
			return refuse("both are the same learner")
		}
		return errors.Join(c.checkPromotion(change.Member.ID), c.checkPromotion(change.Successor.ID))
	case ChangeRemove:
		if !known || present.Voter && len(current.Voters()) == 1 {
			return refuse("not a member, or the only voter")
		}
		return nil
	case ChangeDemote:
		if !present.Voter || len(current.Voters()) == 1 {
			return refuse("not a voter, or the only one")
		}
		return nil
	case ChangeReplace, ChangeRelieve:
		if !present.Voter {
			return refuse("not a voter")
		}
		return c.checkPromotion(change.Successor.ID)
	case ChangeAddress:
		if !known {
			return refuse("not a member")
		}
		return nil
	}
	return refuse("unknown kind of change")
}

// checkPromotion returns an ErrChangeRefused for a member that may not become a voter.
func (c *Core) checkPromotion(id uint64) error {
	switch m, known := c.configuration().Member(id); {
	case !known || m.Voter:
		return ErrChangeRefused{Member: id, Reason: "not a learner"}
	case !c.caughtUp(id):
		return ErrChangeRefused{Member: id, Reason: "the learner has not caught up"}
	}
	return nil
}

func (c *Core) caughtUp(peer uint64) bool {
	p := c.peers[peer]
	return p != nil && p.state == PeerReplicating && p.match+maxPromotionLag >= c.log.lastIndex() && p.match > 0 &&
		c.tick-p.lastReceivedTick < c.config.ElectionTicks
}
