package e2e

import (
	"slices"
	"syscall"
	"time"
)

// inject injects a fault, undoes it after its duration and returns when it is undone.
func (c *platformCluster) inject(f fault) {
	if f.kind == "full disk of the leader" {
		f.vm = c.leader(f.vm)
	}
	defer c.disturb(c.affected(f), period{from: time.Now(), ownOnly: slices.Contains(ownFaults, f.kind), planned: slices.Contains(plannedStops, f.kind)})
	if c.injectFullDisks(f) {
		return
	}
	switch f.kind {
	case "kill":
		c.restart([]string{f.vm}, f.duration, nil)
	case "wipe disk":
		c.restart([]string{f.vm}, f.duration, c.wipeDisk)
	case "wipe disks":
		c.restart(f.vms, f.duration, c.wipeDisk)
	case "torn write":
		c.restart([]string{f.vm}, f.duration, c.appendTornWrite)
	case "kill all stewards":
		c.restart(c.names[:c.shape.stewards], f.duration/4, nil)
	case "kill all":
		c.restart(c.names, f.duration/4, nil)
	case "term":
		c.terminate(f.vm, f.duration)
	case "term and signals":
		c.terminate(f.vm, f.duration, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP)
	case "term twice":
		c.terminate(f.vm, 0)
		c.reload(f.vm, c.seedAddresses())
		c.terminate(f.vm, f.duration)
	case "busy machine":
		c.occupyMachine(f.duration)
	case "suspend":
		c.suspend(f.vm, f.duration)
	case "reload":
		seeds := c.seedAddresses()
		slices.Reverse(seeds)
		c.reload(f.vm, seeds)
	case "partition", "one-way partition":
		c.partition(f)
	case "stall connections":
		c.network.stallConns(f.vm)
	case "delay":
		for _, name := range c.names {
			c.network.setDelay(f.vm, name, f.duration/20)
			defer c.network.setDelay(f.vm, name, 0)
		}
		sleepContext(c.ctx, f.duration)
	case "reset connections":
		c.network.resetConns(f.vm)
	default:
		c.breakEndpoint(f)
	}
}

// partition blocks the traffic between a VM and another one, or all others if both ends of the fault are the same VM.
func (c *platformCluster) partition(f fault) {
	for _, name := range c.names {
		if name == f.vm || f.other != f.vm && name != f.other {
			continue
		}
		c.network.setBlocked(f.vm, name, true)
		defer c.network.setBlocked(f.vm, name, false)
		if f.kind == "partition" {
			c.network.setBlocked(name, f.vm, true)
			defer c.network.setBlocked(name, f.vm, false)
		}
	}
	sleepContext(c.ctx, f.duration)
}

// breakEndpoint injects an endpoint fault.
func (c *platformCluster) breakEndpoint(f fault) {
	e := c.endpointList.Endpoints()[f.endpoint]
	switch f.kind {
	case "endpoint crash":
		c.replaceEndpoint(f.endpoint)
	case "endpoint pauses":
		e.Pause(f.duration)
	case "endpoint leaves":
		e.Leave()
		defer c.replaceEndpoint(f.endpoint)
	case "endpoint failure":
		e.SetFailing(true)
		defer e.SetFailing(false)
	case "endpoint limit":
		e.SetLimit(f.limit)
		defer e.SetLimit(0)
	case "deadly part":
		c.deadly.Store(true)
		defer c.deadly.Store(false)
	case "deadly request":
		c.repeating.Store(true)
		defer c.repeating.Store(false)
	case "late order replies":
		e.DisruptOrders(f.duration/3, 0)
		defer e.DisruptOrders(0, 0)
	case "lost order replies":
		e.DisruptOrders(0, 3)
		defer e.DisruptOrders(0, 0)
	}
	sleepContext(c.ctx, f.duration)
}
