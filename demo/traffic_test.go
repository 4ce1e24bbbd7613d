package demo

import (
	"context"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
)

const (
	idleTime = 4 * time.Second
	// idleBound is what control may cost a node, in bytes a second.
	idleBound = 4096
	// idleMemberBound is what the log's heartbeats and the proofs of the quorum may cost a control member.
	idleMemberBound = 8 * 4096
	// Headers of TCP and IP for a piece of data and its acknowledgement.
	pieceBytes = 2 * 40
)

// meter counts what each node's own connections carry both ways.
type meter struct {
	mu    sync.Mutex
	bytes map[string]int
}

func (m *meter) dialOf(node string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &metered{Conn: conn, meter: m, node: node}, nil
	}
}

func (m *meter) add(node string, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bytes[node] += bytes + pieceBytes
}

func (m *meter) read() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.bytes)
}

type metered struct {
	net.Conn
	meter *meter
	node  string
}

func (c *metered) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.meter.add(c.node, n)
	return n, err
}

func (c *metered) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.meter.add(c.node, n)
	return n, err
}

// TestIdleNodesCostLittle counts all that entries and agents exchange with others while nothing is asked.
func TestIdleNodesCostLittle(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	m := &meter{bytes: map[string]int{}}
	d, err := Start(ctx, logr.Discard(), WithDial(m.dialOf))
	if err != nil {
		t.Fatal(err)
	}
	defer d.Wait()
	defer cancel()
	time.Sleep(idleTime) // what starting costs is not counted
	before := m.read()
	time.Sleep(idleTime)
	after := m.read()
	for _, node := range slices.Sorted(maps.Keys(after)) {
		perSecond := float64(after[node]-before[node]) / idleTime.Seconds()
		t.Logf("%s: %.0f bytes a second", node, perSecond)
		bound := idleBound
		if strings.HasPrefix(node, "control") {
			bound = idleMemberBound
		}
		if perSecond > float64(bound) || perSecond == 0 {
			t.Errorf("%s: %.0f bytes a second, bound %d", node, perSecond, bound)
		}
	}
}
