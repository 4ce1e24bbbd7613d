package steward

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

// stewardGroup is a group of three stewards on the loopback interface.
type stewardGroup struct {
	stewards []*Steward
	mu       sync.Mutex
	// cut is the address of a steward that no other one reaches and that reaches no other.
	cut   string
	conns map[net.Conn][2]string
	// delayed is the address of a steward whose log does not apply anything until release is closed.
	delayed string
	release chan struct{}
}

func startStewardGroup(t *testing.T, list *softwareList) *stewardGroup {
	t.Helper()
	const members = 3
	g := &stewardGroup{conns: map[net.Conn][2]string{}, release: make(chan struct{})}
	var listeners []net.Listener
	var addresses []string
	for range members {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners, addresses = append(listeners, l), append(addresses, l.Addr().String())
	}
	ctx, cancel := context.WithCancel(t.Context())
	var ended []<-chan error
	for n, address := range addresses {
		pool := wire.NewPool(wire.WithDial(func(ctx context.Context, to string) (net.Conn, error) { return g.dial(ctx, address, to) }))
		log := funcr.New(func(_, entry string) { g.logged(address, entry) }, funcr.Options{})
		s, err := Open(Config{Name: address, Address: address, Peers: addresses, FirstStart: true, FaultTolerance: 1}, pool,
			WithTableDecoder(decodeVersion), WithListEndpoints(list.read), WithLog(log))
		if err != nil {
			t.Fatal(err)
		}
		ended = append(ended, s.Run(ctx), wire.Serve(ctx, listeners[n], s.Handlers()))
		t.Cleanup(pool.Close)
		g.stewards = append(g.stewards, s)
	}
	t.Cleanup(func() {
		g.resume()
		cancel()
		for _, e := range ended {
			if err := <-e; err != nil {
				t.Error(err)
			}
		}
	})
	return g
}

func (g *stewardGroup) dial(ctx context.Context, from, to string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", to)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut != "" && slices.Contains([]string{from, to}, g.cut) {
		_ = conn.Close()
		return nil, net.ErrClosed
	}
	g.conns[conn] = [2]string{from, to}
	return conn, nil
}

// cutOff ends the connections of a steward for good.
func (g *stewardGroup) cutOff(_ context.Context, _ *testing.T, s *Steward) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = s.config.Address
	for conn, ends := range g.conns {
		if slices.Contains(ends[:], g.cut) {
			_ = conn.Close()
		}
	}
}

// delay stops the log of a steward at a command that can't be decoded: it blocks when it logs that.
func (g *stewardGroup) delay(ctx context.Context, t *testing.T, s *Steward) {
	t.Helper()
	g.mu.Lock()
	g.delayed = s.config.Address
	g.mu.Unlock()
	if _, err := g.leader().quorumLog.Propose(ctx, []byte{0xff}); err != nil {
		t.Fatal(err)
	}
}

func (g *stewardGroup) logged(address, entry string) {
	g.mu.Lock()
	delayed := g.delayed == address && strings.Contains(entry, "cannot decode committed change")
	g.mu.Unlock()
	if delayed {
		<-g.release
	}
}

// resume lets a delayed log go on.
func (g *stewardGroup) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.delayed != "" {
		g.delayed = ""
		close(g.release)
	}
}

// leader returns the leader, nil if there is none.
func (g *stewardGroup) leader() *Steward {
	for _, s := range g.stewards {
		if _, self := s.quorumLog.Leader(); self {
			return s
		}
	}
	return nil
}

// follower returns a steward that doesn't lead.
func (g *stewardGroup) follower() *Steward {
	leader := g.leader()
	return g.stewards[slices.IndexFunc(g.stewards, func(s *Steward) bool { return s != leader })]
}

// TestLaggingStewardProvesNoVersions guards against a steward with a fresh quorum proof and an old log that names one version as the only
// one while streams have begun at another: a gateway that hears of no other steward would let them go on at the old version.
func TestLaggingStewardProvesNoVersions(t *testing.T) {
	tests := map[string]struct {
		lag func(*stewardGroup, context.Context, *testing.T, *Steward)
		// end ends the lag during a query, nil if it doesn't end; want is the answer to that query.
		end  func(*stewardGroup)
		want *wirepb.OriginReply
	}{
		"cut off":     {(*stewardGroup).cutOff, nil, &wirepb.OriginReply{Versions: []string{"v1"}}},
		"log delayed": {(*stewardGroup).delay, (*stewardGroup).resume, &wirepb.OriginReply{Versions: []string{"v1", "v2"}, Proven: true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			list := &softwareList{}
			list.set("v1")
			g := startStewardGroup(t, list)
			for _, s := range g.stewards {
				waitForVersions(t.Context(), t, s, "v1")
			}
			lagging, leader := g.follower(), g.leader()
			test.lag(g, t.Context(), t, lagging)
			if err := leader.propose(t.Context(), nextSoftware(leader, "v1", "v2")); err != nil {
				t.Fatal(err)
			}
			ask := func(s *Steward, want *wirepb.OriginReply) {
				t.Helper()
				reply := s.handleOrigin(t.Context(), &wirepb.OriginQuery{Stream: 1, Service: "lm"}).GetOriginReply()
				if diff := cmp.Diff(want, reply, protocmp.Transform()); diff != "" {
					t.Error(diff)
				}
			}
			ask(leader, &wirepb.OriginReply{Versions: []string{"v1", "v2"}, Proven: true})
			ask(lagging, &wirepb.OriginReply{Versions: []string{"v1"}})
			if test.end != nil {
				timer := time.AfterFunc(100*time.Millisecond, func() { test.end(g) })
				defer timer.Stop()
			}
			ask(lagging, test.want)
		})
	}
}

// nextSoftware returns the change that follows a steward's committed versions.
func nextSoftware(s *Steward, versions ...string) *wirepb.StewardChange {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &wirepb.StewardChange{Software: softwareMessage(s.software.Revision+1, versions...)}
}
