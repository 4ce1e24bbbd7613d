package storage_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"syscall"
	"testing"
)

var (
	seedsFlag = flag.Int("seeds", 25, "number of random histories to run")
	firstFlag = flag.Uint64("first", 1, "first seed")
)

const (
	faultUnits    = 60_000
	recoveryUnits = 30_000
	shortSeeds    = 8
)

// TestSoak runs random histories of the consensus core and the storage in virtual time; set the seeds with -args
// -seeds=n -first=s.
func TestSoak(t *testing.T) { testSoak(t, 0) }

// TestSoakWithLossesDuringChanges guards against changes of the voters that end the group if a disk is lost before they are committed.
func TestSoakWithLossesDuringChanges(t *testing.T) { testSoak(t, 400) }

func testSoak(t *testing.T, changeLossPermille int) {
	seeds := *seedsFlag
	if testing.Short() {
		seeds = min(seeds, shortSeeds)
	}
	total := map[string]int{}
	failed := 0
	for seed := *firstFlag; seed < *firstFlag+uint64(seeds); seed++ {
		violations, counts := soak(seed, changeLossPermille)
		for name, count := range counts {
			total[name] += count
		}
		if len(violations) > 0 {
			failed++
			t.Errorf("seed %d: %d violations, the first: %s", seed, len(violations), violations[0])
		}
	}
	t.Logf("seeds %d to %d, %d failed", *firstFlag, *firstFlag+uint64(seeds)-1, failed)
	for _, name := range slices.Sorted(maps.Keys(total)) {
		t.Logf("%s: %d", name, total[name])
	}
}

func soak(seed uint64, changeLossPermille int) (violations []string, counts map[string]int) {
	sim := newSimulation(seed)
	sim.changeLossPermille = changeLossPermille
	defer func() {
		if recovered := recover(); recovered != nil {
			if _, isError := recovered.(error); !isError {
				panic(recovered)
			}
			violations = append(violations, fmt.Sprintf("at %d: %v", sim.now, recovered))
			counts = sim.counts
		}
	}()
	sim.after(1, sim.scheduleOperations)
	sim.after(2000, sim.scheduleFaults)
	sim.runUntil(faultUnits)
	sim.stopFaults()
	sim.runUntil(faultUnits + recoveryUnits)
	sim.checkRecovered()
	sim.check.verify(sim.clients.history)
	sim.counts["committed"] += len(sim.check.committed)
	return sim.check.violations, sim.counts
}

func (s *simulation) scheduleOperations() {
	s.clients.issue()
	s.after(s.between(20, 400), s.scheduleOperations)
}

func (s *simulation) scheduleFaults() {
	if s.faultsStopped {
		return
	}
	s.injectFault()
	if s.chance(300) {
		s.injectFault()
		s.counts["simultaneous faults"]++
	}
	s.after(s.between(100, 3000), s.scheduleFaults)
}

// injectFault injects a random fault.
func (s *simulation) injectFault() {
	n := s.randomNode()
	if leader := s.leader(); leader != nil && s.chance(400) {
		n = leader
	}
	switch s.random.IntN(11) {
	case 0, 1:
		if s.chance(400) {
			s.counts["kills"]++
			n.kill()
		} else {
			s.counts["crashes"]++
			n.crash()
		}
		s.after(s.between(50, 4000), n.start)
	case 2:
		if n.up {
			n.disk.failIn = s.random.IntN(20)
			end := func() { n.crash(); n.start() }
			if s.chance(600) {
				n.disk.cause, end = syscall.ENOSPC, n.disk.clearFaults
			}
			s.after(s.between(100, 4000), end)
		}
	case 3:
		s.counts["isolations"]++
		s.blockLinks(func(from, to int) bool { return from == n.slot || to == n.slot })
	case 4:
		s.counts["one-way partitions"]++
		in := s.chance(500)
		s.blockLinks(func(from, to int) bool { return in && to == n.slot || !in && from == n.slot })
	case 5:
		s.counts["partitions"]++
		half := s.random.IntN(1 << len(s.nodes))
		s.blockLinks(func(from, to int) bool { return half>>from&1 != half>>to&1 })
	case 6:
		s.lossPermille, s.duplicatePermille, s.delayPermille = s.random.IntN(200), s.random.IntN(200), s.random.IntN(200)
		s.after(s.between(500, 5000), func() { s.lossPermille, s.duplicatePermille, s.delayPermille = 0, 0, 0 })
	case 7:
		s.wipe(n)
	case 8:
		s.transferLeadership()
	case 9:
		for range 1 + s.random.IntN(2) {
			s.after(s.between(1, 300), func() {
				n := s.randomNode()
				n.leave(func() { s.after(s.between(50, 3000), n.start) })
			})
		}
	case 10:
		n.leave(func() { s.replace(n) })
	}
}

// wipe has a node lose its disk if the group bears it.
func (s *simulation) wipe(n *node) {
	if s.check.canWipe(n) {
		s.counts["wipes"]++
		n.wipe()
		s.after(s.between(50, 2000), n.start)
	}
}

// loseDuringChange has a node lose its disk at any moment around a change of the members, if losses during changes are enabled.
func (s *simulation) loseDuringChange() {
	if s.changeLossPermille == 0 || s.faultsStopped || !s.chance(s.changeLossPermille) {
		return
	}
	s.after(s.between(1, 2*maxDelay+maxDiskDelay), func() {
		if n := s.randomNode(); !s.faultsStopped && s.check.canWipe(n) {
			s.counts["losses during changes"]++
			s.wipe(n)
		}
	})
}

// replace starts an empty node under another name in the place of one that has stopped, or that one again if the group needs it.
func (s *simulation) replace(n *node) {
	if s.check.canWipe(n) {
		s.counts["replacements"]++
		n.generation++
		n.name = fmt.Sprintf("n%d.%d", n.slot, n.generation)
		n.wipe()
	}
	s.after(s.between(50, 2000), n.start)
}

// blockLinks blocks the matching links for a while and then unblocks only those that it blocked.
func (s *simulation) blockLinks(matches func(from, to int) bool) {
	var added [][2]int
	for from := range s.nodes {
		for to := range s.nodes {
			if pair := [2]int{from, to}; from != to && !s.blocked[pair] && matches(from, to) {
				s.blocked[pair] = true
				added = append(added, pair)
			}
		}
	}
	s.after(s.between(300, 8000), func() {
		for _, pair := range added {
			delete(s.blocked, pair)
		}
	})
}

func (s *simulation) transferLeadership() {
	leader := s.leader()
	if leader == nil {
		return
	}
	voters := leader.status.Configuration.Voters()
	if leader.core.Transfer(voters[s.random.IntN(len(voters))]) == nil {
		s.counts["transfers"]++
		leader.process()
	}
}

// stopFaults ends all faults and restarts all nodes.
func (s *simulation) stopFaults() {
	s.faultsStopped = true
	clear(s.blocked)
	s.lossPermille, s.duplicatePermille, s.delayPermille = 0, 0, 0
	for _, n := range s.nodes {
		n.disk.clearFaults()
		n.crash()
		n.start()
	}
}

// checkRecovered checks that the group works again after all faults have ended.
func (s *simulation) checkRecovered() {
	leader := s.leader()
	if leader == nil {
		s.check.fail("no leader %d units after the last fault", recoveryUnits)
		return
	}
	if last := uint64(len(s.check.committed)); leader.applied < last {
		s.check.fail("the leader applied %d of %d committed entries", leader.applied, last)
	}
	if !leader.status.ConfigurationCommitted || len(leader.status.Configuration.Voters()) < s.voters {
		s.check.fail("the configuration is unsafe or lacks voters: %+v", leader.status.Configuration)
	}
	for _, n := range s.nodes {
		if n.up && n.status.Configuration.IsVoter(n.id) && n.applied+20 < leader.applied {
			s.check.fail("%s applied %d, the leader %d", n.name, n.applied, leader.applied)
		}
	}
}
