package e2e

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"burdocksaddle/endpoint"
	"burdocksaddle/gateway"
	"burdocksaddle/memnet"
	"burdocksaddle/route"
	"burdocksaddle/steward"
	"burdocksaddle/wire"
)

const (
	// gatewayLinkRate is the rate of a gateway's link on the platform's smallest VMs, 10 Mbit/s, in bytes per second.
	gatewayLinkRate = 1.25e6
	transferPort    = ":1"
)

// tableCluster is a group of stewards and gateways in this process on an in-memory network, with tables that only they read.
type tableCluster struct {
	t        *testing.T
	network  *memnet.Network
	stewards []*steward.Steward
	gateways []*metrics.Set
}

// newTableCluster starts stewards and gateways whose links carry gatewayLinkRate.
func newTableCluster(t *testing.T, stewards, gateways int) *tableCluster {
	t.Helper()
	c := &tableCluster{t: t, network: memnet.New()}
	ctx, cancel := context.WithCancel(t.Context())
	var addresses []string
	for n := range stewards {
		addresses = append(addresses, stewardName(n)+transferPort)
	}
	var ended []<-chan error
	for n, address := range addresses {
		pool := wire.NewPool(wire.WithDial(c.network.DialFrom(stewardName(n))))
		t.Cleanup(pool.Close)
		listener, err := c.network.Listen(ctx, address)
		if err != nil {
			t.Fatal(err)
		}
		s, err := steward.Open(steward.Config{Name: stewardName(n), Address: address, Peers: addresses[:min(maxSeeds, stewards)], FirstStart: true, FaultTolerance: stewards / 2},
			pool, steward.WithTableDecoder(decodeVersion), steward.WithListEndpoints(func(context.Context) ([]endpoint.State, int, error) { return nil, 0, nil }))
		if err != nil {
			t.Fatal(err)
		}
		ended = append(ended, wire.Serve(ctx, listener, s.Handlers()), s.Run(ctx))
		c.stewards = append(c.stewards, s)
	}
	for n := range gateways {
		host, set := fmt.Sprintf("gateway-%d", n), metrics.NewSet()
		c.network.SetInboundRate(host, gatewayLinkRate)
		pool := wire.NewPool(wire.WithDial(c.network.DialFrom(host)))
		t.Cleanup(pool.Close)
		g := gateway.New(gateway.Config{Node: host, Stewards: addresses[:min(maxSeeds, stewards)]}, pool, gateway.WithMetrics(set), gateway.WithTableDecoder(decodeVersion),
			gateway.WithListEndpoints(func(context.Context) ([]endpoint.State, int, error) { return nil, 0, nil }))
		ended = append(ended, g.Run(ctx))
		c.gateways = append(c.gateways, set)
	}
	t.Cleanup(func() {
		cancel()
		for _, e := range ended {
			if err := <-e; err != nil {
				t.Error(err)
			}
		}
	})
	return c
}

// decodeVersion decodes only the version of a table.
func decodeVersion(raw []byte) (*route.Table, error) {
	var version uint64
	if _, err := fmt.Sscanf(string(raw[:min(len(raw), 40)]), `{"Version":%d,`, &version); err != nil {
		return nil, err
	}
	return route.New(version, nil, nil, route.Limits{})
}

// largeTable returns a table of the given version with as many routes.
func largeTable(version, routes int) []byte {
	r := rand.New(rand.NewPCG(1, 1)) // a table's first routes are the same in every version
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"Version":%d,"Routes":[`, version)
	for n := range routes {
		fmt.Fprintf(&b, `{"Name":"r-%06x","Host":"%06x.example","PathPrefix":"/%08x/","Type":"idempotent","TimeoutMs":1500,"TargetLatencyMs":100,"Priority":1,"Service":"%06x","MaxAttempts":2,"Sticky":false,"Resumable":false},`,
			n, r.IntN(1<<24), r.Uint32(), r.IntN(4))
	}
	return append(b.Bytes(), "{}]}"...)
}

// commit sends a table to a steward until it is acknowledged.
func (c *tableCluster) commit(at, version, routes int) {
	c.t.Helper()
	raw := largeTable(version, routes)
	for end := time.Now().Add(maxStartTime); ; {
		err := c.stewards[at%len(c.stewards)].CommitTable(c.t.Context(), raw, uint64(version))
		if err == nil {
			return
		}
		if time.Now().After(end) {
			c.t.Fatal(err)
		}
	}
}

// versions returns the versions in force at the gateways.
func (c *tableCluster) versions() []int {
	var versions []int
	for _, set := range c.gateways {
		var b strings.Builder
		set.WritePrometheus(&b)
		version := 0
		for line := range strings.Lines(b.String()) {
			if _, err := fmt.Sscanf(line, "burdocksaddle_gateway_table_version %d", &version); err == nil {
				break
			}
		}
		versions = append(versions, version)
	}
	return versions
}

// oldestVersion returns the oldest version in force at a gateway.
func (c *tableCluster) oldestVersion() int { return slices.Min(c.versions()) }

// TestLargeTablesDoNotFillGatewayLinks changes a table of thousands of routes several times in a row. Each version, or a newer one,
// must be in force at all gateways in time.
func TestLargeTablesDoNotFillGatewayLinks(t *testing.T) {
	c := newTableCluster(t, 5, 3)
	c.commit(0, 1, 4200)
	for end := time.Now().Add(maxStartTime); c.oldestVersion() < 1 && time.Now().Before(end); {
		time.Sleep(pollInterval)
	}
	const last = 9
	ackedAt, inForceAt := map[int]time.Time{}, map[int]time.Time{}
	observe := func(until time.Time) {
		for ; time.Now().Before(until); time.Sleep(pollInterval) {
			for version, oldest := 2, c.oldestVersion(); version <= oldest; version++ {
				if inForceAt[version].IsZero() {
					inForceAt[version] = time.Now()
				}
			}
		}
	}
	for version := 2; version <= last; version++ {
		c.commit(version, version, 5600+version)
		ackedAt[version] = time.Now()
		observe(time.Now().Add(300 * time.Millisecond))
	}
	observe(ackedAt[last].Add(maxApplyDelay))
	for version, acked := range ackedAt {
		if at := inForceAt[version]; at.IsZero() || at.Sub(acked) > maxApplyDelay {
			t.Errorf("version %d was not in force at all gateways %v after it was acknowledged", version, maxApplyDelay)
		}
	}
}
