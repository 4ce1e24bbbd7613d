package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"
)

const (
	// restartDelay is how long the platform takes to restart a process.
	restartDelay = 500 * time.Millisecond
	// suspension is how long a suspended steward stands still.
	suspension = 3500 * time.Millisecond
	// previousEnv names a binary of an earlier version, for groups of both.
	previousEnv = "BURDOCKSADDLE_PREVIOUS"
)

// wipe kills stewards and starts them again with empty disks.
func (g *departingGroup) wipe(members ...*departingMember) {
	g.t.Helper()
	for _, m := range members {
		m.kill()
		if err := os.RemoveAll(filepath.Join(g.dir, m.name)); err != nil {
			g.t.Fatal(err)
		}
	}
	time.Sleep(restartDelay)
	for _, m := range members {
		m.start(false)
	}
}

// mustRead has the group return what it acknowledged last.
func (g *departingGroup) mustRead(within time.Duration) {
	g.t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(pollInterval) {
		for _, m := range g.running() {
			status, data := g.call(m, http.MethodGet, "/api/config/describe", nil)
			var table struct{ Version int }
			if status != http.StatusOK || json.Unmarshal(data, &table) != nil {
				continue
			}
			if table.Version != g.version {
				g.t.Fatalf("a steward returned version %d after %d was acknowledged", table.Version, g.version)
			}
			return
		}
	}
	g.t.Fatalf("version %d is not returned within %v", g.version, within)
}

// suspendAndWipe suspends stewards, and wipes others after a time.
func (g *departingGroup) suspendAndWipe(after time.Duration, suspended, wiped []*departingMember) {
	g.t.Helper()
	began := time.Now()
	for _, m := range suspended {
		m.suspend()
	}
	time.Sleep(after)
	g.wipe(wiped...)
	time.Sleep(time.Until(began.Add(suspension)))
	for _, m := range suspended {
		m.resume()
	}
}

// stopAndWipe has a steward stop as planned and lose its disk, and lose it again once it is back for a time.
func (g *departingGroup) stopAndWipe(m *departingMember, after time.Duration) {
	g.t.Helper()
	g.stop(departureGrace, m)
	g.wipe(m)
	time.Sleep(after)
	g.wipe(m)
}

func replacementWays() map[string]departureWay {
	ways := map[string]departureWay{
		"five, two suspended, two disks": {5, 2, func(g *departingGroup, m []*departingMember) {
			g.suspendAndWipe(1900*time.Millisecond, m[1:3], []*departingMember{m[0], m[3]})
		}},
		"one gone for good, its successor's disk": {3, 1, func(g *departingGroup, m []*departingMember) {
			g.lose(m[1])
			time.Sleep(1900 * time.Millisecond)
			g.wipe(m[3])
		}},
		"one leaves, its successor's disk": {3, 1, func(g *departingGroup, m []*departingMember) {
			g.stop(stopTime, m[1])
			g.wipe(m[3])
		}},
	}
	for after := 1750 * time.Millisecond; after <= 2000*time.Millisecond; after += 50 * time.Millisecond {
		ways[fmt.Sprint("one suspended, a disk after ", after)] = departureWay{3, 1, func(g *departingGroup, m []*departingMember) {
			g.suspendAndWipe(after, m[1:2], m[2:3])
		}}
	}
	for _, first := range []time.Duration{50 * time.Millisecond, 250 * time.Millisecond, 450 * time.Millisecond} {
		ways[fmt.Sprint("a disk twice around a stop, from ", first)] = departureWay{3, 0, func(g *departingGroup, m []*departingMember) {
			for i, m := range m[:3] {
				g.stopAndWipe(m, first+time.Duration(i)*50*time.Millisecond)
				time.Sleep(catchUpTime)
				g.mustChange(ackTime)
			}
		}}
	}
	return ways
}

// TestStewardReplacements guards against a configuration that is lost for good as stewards lose their disks, as many as the group bears, while others
// stand still, leave or are replaced.
func TestStewardReplacements(t *testing.T) {
	if os.Getenv(faultsEnv) == "" {
		t.Skip(faultsEnv + " is not set")
	}
	binary := buildBinary(t)
	for name, way := range replacementWays() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := startDepartingGroup(t, binary, way.voters, way.standbys)
			way.run(g, g.members)
			g.mustRead(platformRecoveryTime)
			g.mustChange(platformRecoveryTime)
		})
	}
}

// TestReplacementsBesideEarlierVersion has stewards of an earlier version and of this one lose disks and leave, and start again as this version.
func TestReplacementsBesideEarlierVersion(t *testing.T) {
	previous := os.Getenv(previousEnv)
	if previous == "" {
		t.Skip(previousEnv + " is not set")
	}
	binary := buildBinary(t)
	for _, voters := range []int{3, 5} {
		for earlier := 1; earlier < voters; earlier++ {
			t.Run(fmt.Sprint(earlier, " of ", voters), func(t *testing.T) {
				t.Parallel()
				g := startDepartingGroup(t, previous, voters, 1)
				g.binary = binary
				for _, m := range g.members[earlier:] {
					g.stop(departureGrace, m)
					m.start(false)
					g.mustChange(ackTime)
				}
				time.Sleep(catchUpTime)
				for _, m := range g.members {
					g.wipe(m)
					time.Sleep(catchUpTime)
					g.mustChange(ackTime)
					g.stop(departureGrace, m)
					m.start(false)
					g.mustChange(ackTime)
				}
			})
		}
	}
}
