package e2e

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"burdocksaddle/catalog"
	"burdocksaddle/engineapi"
	"burdocksaddle/traffic"
)

// memFault is a fault in a memCluster; inject starts it and returns a function that repairs it.
type memFault struct {
	name   string
	inject func(c *memCluster, r *rand.Rand) (end func())
}

var memFaults = []memFault{
	{"agent beside an engine crashes", func(c *memCluster, r *rand.Rand) func() {
		return c.killUntilRepair(engineAgentName(r.IntN(engineCount)))
	}},
	{"agent beside a plain service crashes", func(c *memCluster, r *rand.Rand) func() {
		return c.killUntilRepair(plainAgentName(r.IntN(plainServiceCount)))
	}},
	{"engine loses its loads in progress", func(c *memCluster, r *rand.Rand) func() {
		return c.setEngineFault(r.IntN(engineCount), engineapi.Fault{DieInLoad: true})
	}},
	{"engine executes orders late", func(c *memCluster, r *rand.Rand) func() {
		return c.setEngineFault(0, engineapi.Fault{LateOrderMS: 1_500}) // engine-1 does not check fencing tokens
	}},
	{"engine's answers are lost", func(c *memCluster, r *rand.Rand) func() {
		return c.setEngineFault(r.IntN(engineCount), engineapi.Fault{LoseAnswer: true})
	}},
	{"plain service's answers are lost", func(c *memCluster, r *rand.Rand) func() {
		service := c.plainServices[r.IntN(plainServiceCount)]
		service.SetFault(engineapi.Fault{LoseAnswer: true})
		return func() { service.SetFault(engineapi.Fault{}) }
	}},
	{"weight store is slow", func(c *memCluster, r *rand.Rand) func() {
		c.store.SetFault(engineapi.Fault{Slow: 10})
		return func() { c.store.SetFault(engineapi.Fault{}) }
	}},
	{"VM is reclaimed", reclaimVM},
	{"entry crashes", func(c *memCluster, r *rand.Rand) func() {
		i := r.IntN(entryCount)
		from, end := time.Now(), c.killUntilRepair(entryName(i))
		return func() {
			end()
			c.results.Outages = append(c.results.Outages, traffic.Outage{Entry: i, Begin: from, End: time.Now().Add(time.Second)})
		}
	}},
	{"leader crashes", func(c *memCluster, r *rand.Rand) func() { return c.killUntilRepair(c.awaitLeader()) }},
	{"leader is isolated for a long time", func(c *memCluster, r *rand.Rand) func() {
		name := c.awaitLeader()
		c.isolate(name, true)
		return func() { time.Sleep(10 * time.Second); c.isolate(name, false) }
	}},
	{"agent is isolated", func(c *memCluster, r *rand.Rand) func() {
		return c.isolateUntilRepair(plainAgentName(r.IntN(plainServiceCount)))
	}},
	{"engine's agent is isolated", func(c *memCluster, r *rand.Rand) func() {
		return c.isolateUntilRepair(engineAgentName(r.IntN(engineCount)))
	}},
	{"entry stops receiving from control", func(c *memCluster, r *rand.Rand) func() {
		name := entryName(r.IntN(entryCount))
		c.blockControlTo(name, true)
		return func() { c.blockControlTo(name, false) }
	}},
	{"open connections between entries and agents stall", func(c *memCluster, r *rand.Rand) func() {
		for i := range entryCount {
			for _, agent := range []string{engineAgentName(r.IntN(engineCount)), plainAgentName(r.IntN(plainServiceCount))} {
				c.network.Stall(entryName(i), agent)
			}
		}
		return noRepair
	}},
	{"open connections to the leader stall", func(c *memCluster, r *rand.Rand) func() {
		c.network.Stall(c.awaitLeader(), "")
		return noRepair
	}},
	{"open connections to an engine stall", func(c *memCluster, r *rand.Rand) func() {
		i := r.IntN(engineCount)
		c.network.Stall(engineAgentName(i), engineName(i))
		return noRepair
	}},
	{"all control members restart after many changes", func(c *memCluster, r *rand.Rand) func() {
		for n := range manyChanges {
			c.applyChange(fmt.Sprintf("many-%d-%d", c.changeCount, n), c.catalogVersion(), presetChange(n))
		}
		for i := range c.controls + c.learners {
			c.killNode(controlName(i))
		}
		for i := range c.controls + c.learners {
			c.startNode(controlName(i))
		}
		return noRepair
	}},
	{"control member is lost permanently, leader crashes after the replacement", loseTwoMembers},
	{"operators race on the same catalog version", raceChanges},
}

func noRepair() {}

const manyChanges = 30

func presetChange(n int) catalog.Change {
	return catalog.Change{Preset: []string{"Peak", "Maintenance", "Ordinary"}[n%3]}
}

func (c *memCluster) killUntilRepair(name string) func() {
	c.killNode(name)
	return func() { c.startNode(name) }
}

func (c *memCluster) isolateUntilRepair(name string) func() {
	c.isolate(name, true)
	return func() { c.isolate(name, false) }
}

func (c *memCluster) blockControlTo(name string, blocked bool) {
	for i := range c.controls + c.learners {
		c.network.SetDropped(controlName(i), name, blocked)
	}
}

func (c *memCluster) setEngineFault(i int, fault engineapi.Fault) func() {
	c.engines[i].SetFault(fault)
	return func() { c.engines[i].SetFault(engineapi.Fault{}) }
}

// reclaimVM announces that an engine's VM is about to be reclaimed, kills its agent and starts it again on a new VM.
func reclaimVM(c *memCluster, r *rand.Rand) func() {
	i := r.IntN(engineCount)
	name := engineAgentName(i)
	c.platform.SetVM(name, true)
	return func() {
		// By now the platform's VM list has reported the VM as leaving for several seconds.
		before := c.startedRuns(i)
		time.Sleep(3 * time.Second)
		if after := c.startedRuns(i); after != before {
			c.t.Errorf("%s started %d runs although its VM is leaving", engineName(i), after-before)
		}
		c.killNode(name)
		time.Sleep(time.Second)
		c.platform.SetVM(name, false)
		time.Sleep(3 * time.Second) // the platform's VM list is updated with a delay
		c.startNode(name)
	}
}

// startedRuns returns the number of runs that an engine has started.
func (c *memCluster) startedRuns(i int) (started int) {
	for _, n := range c.engines[i].Counts().Runs {
		started += n
	}
	return started
}

// loseTwoMembers removes a member together with its disk, waits for its replacement and kills the leader.
func loseTwoMembers(c *memCluster, _ *rand.Rand) func() {
	leader := c.awaitLeader()
	removed := controlName(0)
	if removed == leader {
		removed = controlName(1)
	}
	c.killNode(removed)
	c.removeDisk(removed)
	time.Sleep(15 * time.Second) // ReplaceAfterMS plus the time of the replacement itself
	nextLeader := c.awaitLeader()
	c.killNode(nextLeader)
	return func() {
		c.startNode(nextLeader)
		c.startNode(removed) // joins as a new member under the old name
	}
}

// raceChanges submits two changes based on the same version; at most one may be accepted.
func raceChanges(c *memCluster, _ *rand.Rand) func() {
	c.awaitLeader()
	base, n := c.catalogVersion(), c.changeCount
	statuses := make(chan int, 2)
	for i := range 2 {
		go func() {
			status, _ := c.applyChange(fmt.Sprintf("race-%d-%d", n, i), base, presetChange(i))
			statuses <- status
		}()
	}
	accepted := 0
	for range 2 {
		if <-statuses == http.StatusOK {
			accepted++
		}
	}
	if accepted > 1 {
		c.t.Errorf("%d of two concurrent changes based on version %d were accepted", accepted, base)
	}
	return noRepair
}
