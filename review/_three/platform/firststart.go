package main

import "time"

const (
	// startSpread is how far apart machines may start at the first start; the pages allow 0.3 s.
	startSpread = 250 * time.Millisecond
	// orderPatience is how long the operator repeats its first configuration; the pages ask for an acknowledgement within ackTime.
	orderPatience = 20 * time.Second
	callTime      = 10 * time.Second
)

// firstStart starts a system for the first time: the first core machine of the seeds, then all others within startSpread. The process of the first
// one is killed once, before the others start, and restarted. A process that is restarted is no first start of the whole system, so its settings say so.
// From then on nothing is disrupted.
func firstStart(c *cluster, trouble bool) (broken bool, err error) {
	stewards, err := c.addAll("steward", 3)
	if err != nil {
		return false, err
	}
	gateways, err := c.addAll("gateway", 2)
	if err != nil {
		return false, err
	}
	first, seeds := stewards[0], operators(stewards)
	if err := c.startAll(stewards[:1], seeds); err != nil {
		return false, err
	}
	if err := c.sleep(startSpread); err != nil {
		return false, err
	}
	if trouble {
		c.signalKill(first)
	}
	if err := c.startAll(append(append([]*machine{}, stewards[1:]...), gateways...), seeds); err != nil {
		return false, err
	}
	if trouble {
		c.kill(first) // waits for its end
		if err := c.sleep(restartDelay); err != nil {
			return false, err
		}
		first.first = false
		if err := c.start(first); err != nil {
			return false, err
		}
	}
	// The core counts as stable after contactTime.
	if err := c.sleep(contactTime); err != nil {
		return false, err
	}
	acknowledged, err := c.order(1, stewards, orderPatience)
	if err != nil {
		return false, err
	}
	if err := c.sleep(time.Second); err != nil {
		return false, err
	}
	sent, served, err := c.requests(gateways, callTime)
	if err != nil {
		return false, err
	}
	if !trouble && (!acknowledged || served < sent/2) {
		return true, errNotStarted
	}
	return !acknowledged && served == 0, c.allRun()
}
