package main

import (
	"syscall"
	"time"
)

const (
	// frozenFor is how long a core machine stands still, lossAfter how long after it began to the disk of another one is lost.
	frozenFor = 3500 * time.Millisecond
	lossAfter = 1850 * time.Millisecond
)

// silentVoter has a planned replacement of a core machine under way: the new one has run for longer than catchUpTime. One of the others stands still
// for a while and then goes on; meanwhile the disk of a third one is lost.
func silentVoter(c *cluster, trouble bool) (broken bool, err error) {
	stewards, err := c.addAll("steward", 4)
	if err != nil {
		return false, err
	}
	seeds := operators(stewards[:3])
	if err := c.startAll(stewards[:3], seeds); err != nil {
		return false, err
	}
	if acknowledged, err := c.order(1, stewards[:3], startPatience); err != nil || !acknowledged {
		return true, errNotStarted
	}
	stewards[3].first = false
	if err := c.startAll(stewards[3:], seeds); err != nil {
		return false, err
	}
	if err := c.sleep(recoverTime); err != nil {
		return false, err
	}
	if acknowledged, err := c.order(2, stewards, ackTime); err != nil || !acknowledged {
		return true, errNotStarted
	}
	if trouble {
		if err := c.freezeAndLoseDisk(stewards[1], stewards[2]); err != nil {
			return false, err
		}
	}
	// All machines are back.
	if err := c.sleep(catchUpTime + recoverTime); err != nil {
		return false, err
	}
	return c.quorumLost(stewards, 3)
}

// freezeAndLoseDisk has one machine stand still for frozenFor, and another one lose its disk meanwhile.
func (c *cluster) freezeAndLoseDisk(frozen, lost *machine) error {
	_ = frozen.command.Process.Signal(syscall.SIGSTOP)
	c.note(frozen.name + " stands still")
	if err := c.sleep(lossAfter); err != nil {
		return err
	}
	if err := c.loseDisk(lost); err != nil {
		return err
	}
	if err := c.sleep(frozenFor - lossAfter - restartDelay); err != nil {
		return err
	}
	_ = frozen.command.Process.Signal(syscall.SIGCONT)
	c.note(frozen.name + " goes on")
	return nil
}
