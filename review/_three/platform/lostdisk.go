package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// rounds is how often lostDisk repeats its disruption.
const rounds = 7

// lostDisk has one of three core machines lose its disk twice: while it restarts as planned, and as soon as its process has caught up. The other
// machines run undisturbed all the time.
func lostDisk(c *cluster, trouble bool) (broken bool, err error) {
	stewards, err := c.addAll("steward", 3)
	if err != nil {
		return false, err
	}
	gateways, err := c.addAll("gateway", 1)
	if err != nil {
		return false, err
	}
	if err := c.startAll(append(append([]*machine{}, stewards...), gateways...), operators(stewards)); err != nil {
		return false, err
	}
	if acknowledged, err := c.order(1, stewards, startPatience); err != nil || !acknowledged {
		return true, errNotStarted
	}
	if err := c.sleep(5 * time.Second); err != nil {
		return false, err
	}
	version := 2
	for acknowledged := true; acknowledged && version < 2+rounds; version++ {
		c.note(fmt.Sprintf("round %d", version-1))
		if err := c.restartAsPlanned(stewards[2], trouble); err != nil {
			return false, err
		}
		if acknowledged, err = c.order(version, stewards[:2], ackTime); err != nil {
			return false, err
		}
	}
	if err := c.sleep(recoverTime); err != nil {
		return false, err
	}
	return c.quorumLost(stewards, version)
}

// restartAsPlanned stops a machine's process and starts it again. With trouble, the machine loses its disk meanwhile, and again once it has caught up.
func (c *cluster) restartAsPlanned(m *machine, trouble bool) error {
	m.first = false
	c.stop(m)
	from := c.logSize(m)
	if !trouble {
		if err := c.sleep(restartDelay); err != nil {
			return err
		}
		if err := c.start(m); err != nil {
			return err
		}
		return c.sleep(catchUpTime)
	}
	if err := c.restartWiped(m); err != nil {
		return err
	}
	if err := c.caughtUp(m, from); err != nil {
		return err
	}
	if err := c.loseDisk(m); err != nil {
		return err
	}
	return c.sleep(catchUpTime) // for so long it counts as lost after it is back
}

// caughtUp waits until a machine's process has put the configuration into force since a position in its log.
func (c *cluster) caughtUp(m *machine, from int) error {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Microsecond) {
		log, err := os.ReadFile(filepath.Join(m.dir, "log"))
		if err != nil {
			return err
		}
		if bytes.Contains(log[from:], []byte("table in force")) {
			return nil
		}
	}
	return errNotStarted
}

func (c *cluster) logSize(m *machine) int {
	info, err := os.Stat(filepath.Join(m.dir, "log"))
	if err != nil {
		return 0
	}
	return int(info.Size())
}
