package quorum_test

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// lossGroup is a group whose members can be cut off and lose their disks.
type lossGroup struct {
	t       *testing.T
	network *network
	// members are the voters, of which the first leads, followed by the standbys.
	members []*process
}

func startLossGroup(t *testing.T, voters, standbys int) *lossGroup {
	t.Helper()
	g := &lossGroup{t: t, network: newNetwork()}
	configs := testConfigs(t, voters, standbys)
	for i := range configs {
		configs[i].Standing, configs[i].JoinOnly = false, i >= voters
		g.members = append(g.members, startOn(t, configs[i], g.network))
	}
	propose(t, g.members, "before")
	eventually(t, "all members have caught up", func() bool {
		return slices.Equal(lagsOf(leaderOf(t, g.members)), make([]uint64, voters+standbys))
	})
	at := slices.Index(g.members, leaderOf(t, g.members))
	g.members[0], g.members[at] = g.members[at], g.members[0]
	return g
}

func lagsOf(p *process) (lags []uint64) {
	for _, m := range p.Members() {
		lags = append(lags, m.Lag)
	}
	return lags
}

// wipe ends a member without notice; it is back with an empty disk.
func (g *lossGroup) wipe(i int) {
	g.t.Helper()
	p := g.members[i]
	p.stop(g.t)
	if err := os.RemoveAll(p.config.DataDir); err != nil {
		g.t.Fatal(err)
	}
	p.config.JoinOnly = true
	time.Sleep(5 * testTick)
	g.members[i] = startOn(g.t, p.config, g.network)
}

// cutOff makes members unreachable, which to the others is as if they stood still.
func (g *lossGroup) cutOff(cut bool, members ...int) {
	for _, i := range members {
		g.network.host(g.members[i].config.Address).partitioned.Store(cut)
	}
}

// lossWay is how disks are lost around the replacement of voters.
type lossWay struct {
	voters, standbys int
	// from and to are when the disks are lost.
	from, to time.Duration
	run      func(g *lossGroup, at time.Duration)
}

var lossWays = map[string]lossWay{
	"a silent voter, another one's disk": {3, 1, 45 * testTick, 56 * testTick, func(g *lossGroup, at time.Duration) {
		g.cutOff(true, 1)
		time.Sleep(at)
		g.wipe(2)
		time.Sleep(30 * testTick)
		g.cutOff(false, 1)
	}},
	"a silent voter, the leader's disk": {3, 1, 45 * testTick, 56 * testTick, func(g *lossGroup, at time.Duration) {
		g.cutOff(true, 1)
		time.Sleep(at)
		g.wipe(0)
		time.Sleep(30 * testTick)
		g.cutOff(false, 1)
	}},
	"a voter that is gone, its successor's disk": {3, 1, 45 * testTick, 56 * testTick, func(g *lossGroup, at time.Duration) {
		g.members[1].stop(g.t)
		time.Sleep(at)
		g.wipe(3)
	}},
	"a voter that left, its disk and its successor's": {3, 0, 0, 12 * testTick, func(g *lossGroup, at time.Duration) {
		leave(g.t, g.members[1])
		g.wipe(1)
		time.Sleep(at)
		g.wipe(1)
	}},
	"a voter that leaves, its successor's disk": {3, 1, 0, 4 * testTick, func(g *lossGroup, at time.Duration) {
		wiped := make(chan struct{})
		go func() {
			defer close(wiped)
			time.Sleep(at / 8)
			g.wipe(3)
		}()
		leave(g.t, g.members[1])
		<-wiped
	}},
	"two silent voters of five, two disks": {5, 2, 45 * testTick, 56 * testTick, func(g *lossGroup, at time.Duration) {
		g.cutOff(true, 1, 2)
		time.Sleep(at)
		wiped := make(chan struct{})
		go func() {
			defer close(wiped)
			g.wipe(3)
		}()
		g.wipe(0)
		<-wiped
		time.Sleep(30 * testTick)
		g.cutOff(false, 1, 2)
	}},
	"a silent voter of five, a disk and the successor's": {5, 1, 45 * testTick, 56 * testTick, func(g *lossGroup, at time.Duration) {
		g.cutOff(true, 1)
		time.Sleep(at)
		wiped := make(chan struct{})
		go func() {
			defer close(wiped)
			g.wipe(5)
		}()
		g.wipe(3)
		<-wiped
		time.Sleep(30 * testTick)
		g.cutOff(false, 1)
	}},
}

// TestGroupSurvivesLossesDuringReplacements guards against a group that ends as disks are lost, unnoticed, at any moment around the replacement of
// voters that are silent, leave or have lost their disks.
func TestGroupSurvivesLossesDuringReplacements(t *testing.T) {
	const moments = 12
	for name, way := range lossWays {
		for i := range moments {
			at := way.from + time.Duration(i)*(way.to-way.from)/moments
			t.Run(fmt.Sprint(name, ", after ", at), func(t *testing.T) {
				runOnOneProcessor(t, func(t *testing.T) {
					g := startLossGroup(t, way.voters, way.standbys)
					way.run(g, at)
					rest := running(g.members)
					propose(t, rest, "after")
					for _, p := range rest {
						eventually(t, "all commands", func() bool { return cmp.Equal([]string{"before", "after"}, p.commandLog.all()) })
					}
					eventually(t, "as many voters as before", func() bool { return len(voterNames(leaderOf(t, rest))) == way.voters })
				})
			})
		}
	}
}
