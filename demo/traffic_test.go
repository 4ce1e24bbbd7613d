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
	measureTime = 4 * time.Second
	// maxIdleBytesPerSecond limits the traffic of a node with the control members.
	maxIdleBytesPerSecond = 4096
	// maxIdleMemberBytesPerSecond limits the traffic of a control member, which includes heartbeats of the replicated log and
	// proofs of the quorum.
	maxIdleMemberBytesPerSecond = 8 * 4096
	// headerBytes is the size of the TCP and IP headers of a segment and its acknowledgement.
	headerBytes = 2 * 40
)

// meter counts the bytes that each node sends and receives on the connections that it opens.
type meter struct {
	mu    sync.Mutex
	bytes map[string]int
}

func (m *meter) dialFor(node string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return &meteredConn{Conn: conn, meter: m, node: node}, nil
	}
}

func (m *meter) add(node string, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.bytes[node] += bytes + headerBytes
}

func (m *meter) snapshot() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.bytes)
}

type meteredConn struct {
	net.Conn
	meter *meter
	node  string
}

func (c *meteredConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.meter.add(c.node, n)
	return n, err
}

func (c *meteredConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.meter.add(c.node, n)
	return n, err
}

// TestIdleTrafficIsBounded measures the traffic between the nodes while there are no requests.
func TestIdleTrafficIsBounded(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	m := &meter{bytes: map[string]int{}}
	d, err := Start(ctx, logr.Discard(), WithDial(m.dialFor))
	if err != nil {
		t.Fatal(err)
	}
	defer d.Wait()
	defer cancel()
	time.Sleep(measureTime) // traffic of the startup is not measured
	before := m.snapshot()
	time.Sleep(measureTime)
	after := m.snapshot()
	for _, node := range slices.Sorted(maps.Keys(after)) {
		perSecond := float64(after[node]-before[node]) / measureTime.Seconds()
		t.Logf("%s: %.0f bytes per second", node, perSecond)
		bound := maxIdleBytesPerSecond
		if strings.HasPrefix(node, "control") {
			bound = maxIdleMemberBytesPerSecond
		}
		if perSecond > float64(bound) || perSecond == 0 {
			t.Errorf("%s: %.0f bytes per second, limit %d", node, perSecond, bound)
		}
	}
}
