package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"burdocksaddle/platform/standin"
)

const (
	departureGrace = 8 * time.Second
	// catchUpTime is how long the platform gives a new steward before the one that it replaces may go.
	catchUpTime = 4 * time.Second
	// ackTime is within which a group must acknowledge a change while planned work goes on.
	ackTime = 4 * time.Second
	// stopTime is how long a steward without calls may take to stop.
	stopTime = 2 * time.Second
)

// departingGroup is a group of steward processes of which some leave or are lost.
type departingGroup struct {
	t         *testing.T
	binary    string
	dir, list string
	subnet    *standin.Subnet
	seeds     []string
	tolerance int
	version   int
	members   []*departingMember

	mu    sync.Mutex
	stops []groupStop
}

// groupStop is how long a steward took to stop, and may take.
type groupStop struct {
	member      string
	took, limit time.Duration
}

type departingMember struct {
	*process
	operator string
	start    func(first bool)
	gone     bool
}

func (g *departingGroup) add(first bool) *departingMember {
	n := len(g.members)
	m := &departingMember{operator: net.JoinHostPort(g.subnet.IP(2, n), "8306")}
	g.members = append(g.members, m)
	if len(g.seeds) < maxSeeds {
		g.seeds = append(g.seeds, m.operator)
	}
	name := fmt.Sprint("steward-", n)
	m.start = func(first bool) {
		node := standin.Node{
			Name: name, Role: "steward", IP: g.subnet.IP(2, n), DataCentre: "here", Operator: m.operator, Port: 7380, Seeds: g.seeds, FirstStart: first,
			DataDir: filepath.Join(g.dir, name), MemoryMB: vmMemoryMB, List: g.list, Grace: departureGrace, Lease: platformLease, Drain: platformDrain,
			FaultTolerance: g.tolerance,
		}
		settings, err := node.SettingsFile()
		if err != nil {
			g.t.Fatal(err)
		}
		file := filepath.Join(g.dir, name+".json")
		if err := os.WriteFile(file, settings, 0o600); err != nil {
			g.t.Fatal(err)
		}
		m.process, m.gone = startProcessEnv(g.t, g.binary, g.dir, name, []string{"BURDOCKSADDLE_NODE_FILE=" + file}, "steward"), false
	}
	return m
}

// startDepartingGroup starts a group that has acknowledged a configuration, with standbys that had the time to catch up.
func startDepartingGroup(t *testing.T, binary string, voters, standbys int) *departingGroup {
	t.Helper()
	subnet, err := standin.ReserveSubnet(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(subnet.Close)
	list, err := standin.StartList(net.JoinHostPort(subnet.IP(1, 0), "8142"), 500*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(list.Close)
	g := &departingGroup{t: t, binary: binary, dir: t.TempDir(), list: list.Address, subnet: subnet, tolerance: voters / 2}
	t.Cleanup(func() {
		for _, m := range g.members {
			m.kill()
		}
	})
	for range voters {
		g.add(true)
	}
	for _, m := range g.members {
		m.start(true)
	}
	g.mustChange(platformRecoveryTime)
	for range standbys {
		g.add(false).start(false)
	}
	time.Sleep(catchUpTime)
	g.mustChange(ackTime)
	return g
}

func (g *departingGroup) call(m *departingMember, method, path string, body []byte) (int, []byte) {
	ctx, cancel := context.WithTimeout(g.t.Context(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.operator+path, bytes.NewReader(body))
	if err != nil {
		g.t.Error(err)
		return 0, nil
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

func (g *departingGroup) running() []*departingMember {
	return slices.DeleteFunc(slices.Clone(g.members), func(m *departingMember) bool { return m.gone })
}

// mustChange has the group acknowledge a change, and return it.
func (g *departingGroup) mustChange(within time.Duration) {
	g.t.Helper()
	g.version++
	route := standin.Route{Name: "book", PathPrefix: "/book/", Kind: "non_idempotent", Service: "plain", LatencyObjectiveMS: 100, TimeoutMS: 1000}
	body, err := standin.Table(g.version, []standin.Route{route}, nil, []string{"m0"}, "engine", "plain")
	if err != nil {
		g.t.Fatal(err)
	}
	acknowledged, read := false, false
	for end := time.Now().Add(within); !read && time.Now().Before(end); time.Sleep(pollInterval) {
		for _, m := range g.running() {
			if !acknowledged {
				status, _ := g.call(m, http.MethodPost, "/api/config/replace", body)
				acknowledged = status == http.StatusOK
				continue
			}
			status, data := g.call(m, http.MethodGet, "/api/config/describe", nil)
			var table struct{ Version int }
			if status == http.StatusOK && json.Unmarshal(data, &table) == nil {
				if table.Version != g.version {
					g.t.Fatalf("a steward returned version %d after %d was acknowledged", table.Version, g.version)
				}
				read = true
			}
		}
	}
	if !read {
		g.t.Fatalf("version %d: acknowledged %t, returned %t within %v", g.version, acknowledged, read, within)
	}
}

// stop has stewards stop at the same moment and waits for their end. No stop may take longer than the grace; whether it kept the limit is
// checked apart from the configuration.
func (g *departingGroup) stop(limit time.Duration, members ...*departingMember) {
	g.t.Helper()
	var stopped sync.WaitGroup
	for _, m := range members {
		m.gone = true
		stopped.Go(func() {
			began := time.Now()
			if err := m.stop(g.t); err != nil {
				g.t.Errorf("%s ended with %v", m.name, err)
			}
			took := time.Since(began)
			if took > departureGrace {
				g.t.Errorf("%s took %v to stop, longer than its grace", m.name, took)
			}
			g.mu.Lock()
			defer g.mu.Unlock()
			g.stops = append(g.stops, groupStop{member: m.name, took: took, limit: limit})
		})
	}
	stopped.Wait()
}

func (g *departingGroup) lose(m *departingMember) {
	m.gone = true
	m.kill()
}

// departureWay is how stewards leave their group, are lost or start again; the first members are the voters.
type departureWay struct {
	voters, standbys int
	run              func(g *departingGroup, m []*departingMember)
}

var departureWays = map[string]departureWay{
	"two, 2 s apart": {3, 3, func(g *departingGroup, m []*departingMember) {
		g.stop(stopTime, m[0])
		time.Sleep(2 * time.Second)
		g.stop(stopTime, m[1])
	}},
	"three at once": {3, 3, func(g *departingGroup, m []*departingMember) { g.stop(stopTime, m[:3]...) }},
	"three in series": {3, 3, func(g *departingGroup, m []*departingMember) {
		for _, m := range m[:3] {
			g.stop(stopTime, m)
			time.Sleep(500 * time.Millisecond)
		}
	}},
	"one, then a loss": {3, 3, func(g *departingGroup, m []*departingMember) {
		g.stop(stopTime, m[0])
		time.Sleep(300 * time.Millisecond)
		g.lose(m[1])
	}},
	"a loss, then two at once": {3, 3, func(g *departingGroup, m []*departingMember) {
		g.lose(m[0])
		time.Sleep(300 * time.Millisecond)
		g.stop(departureGrace, m[1:3]...)
	}},
	"a loss, then two later": {3, 3, func(g *departingGroup, m []*departingMember) {
		g.lose(m[0])
		time.Sleep(4500 * time.Millisecond)
		g.stop(stopTime, m[1:3]...)
	}},
	"five in series": {5, 5, func(g *departingGroup, m []*departingMember) {
		for _, m := range m[:5] {
			g.stop(stopTime, m)
			time.Sleep(700 * time.Millisecond)
		}
	}},
	"two of five, and two losses": {5, 5, func(g *departingGroup, m []*departingMember) {
		g.stop(stopTime, m[:2]...)
		g.lose(m[2])
		g.lose(m[3])
	}},
	"restarts in turn": {3, 3, func(g *departingGroup, m []*departingMember) {
		for _, m := range m {
			g.stop(stopTime, m)
			m.start(false)
			g.mustChange(ackTime)
		}
	}},
	"restarts in turn without standbys": {3, 0, func(g *departingGroup, m []*departingMember) {
		for _, m := range m {
			g.stop(stopTime, m)
			m.start(false)
			g.mustChange(ackTime)
		}
	}},
	"all restart at once": {3, 3, func(g *departingGroup, m []*departingMember) {
		g.stop(departureGrace, m...)
		for _, m := range m {
			m.start(false)
		}
	}},
	"a stop without a quorum": {3, 3, func(g *departingGroup, m []*departingMember) {
		g.lose(m[0])
		g.lose(m[1])
		time.Sleep(3 * time.Second)
		g.stop(time.Second, m[2:]...)
		for _, m := range m {
			m.start(false)
		}
	}},
}

// TestStewardDepartures guards against planned stops of stewards that end the configuration: several at once or in series, beside losses that
// the group bears, and restarts.
func TestStewardDepartures(t *testing.T) {
	if os.Getenv(faultsEnv) == "" {
		t.Skip(faultsEnv + " is not set")
	}
	binary := buildBinary(t)
	var mu sync.Mutex
	stops := map[string][]groupStop{}
	t.Run("configuration", func(t *testing.T) {
		for name, way := range departureWays {
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				g := startDepartingGroup(t, binary, way.voters, way.standbys)
				defer func() {
					mu.Lock()
					defer mu.Unlock()
					stops[name] = g.stops
				}()
				way.run(g, g.members)
				g.mustChange(platformRecoveryTime)
			})
		}
	})
	for name := range departureWays {
		t.Run("stops in time: "+name, func(t *testing.T) {
			if len(stops[name]) == 0 {
				t.Error("no stop was measured")
			}
			for _, s := range stops[name] {
				t.Logf("%s stopped in %v", s.member, s.took.Round(time.Millisecond))
				if s.took > s.limit {
					t.Errorf("%s took %v to stop, %v are allowed", s.member, s.took, s.limit)
				}
			}
		})
	}
}
