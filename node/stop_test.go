package node

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"burdocksaddle/catalog"
	"burdocksaddle/setting"
	"burdocksaddle/standin"
)

const testTimeout = 20 * time.Second

// testNode is a process with all roles that serves a plain service.
type testNode struct {
	base    string
	service *standin.Service
	stop    context.CancelFunc
	abort   context.CancelFunc
	ended   <-chan error
}

func startNode(t *testing.T, callTime, balancer time.Duration, changes ...func(*setting.Settings)) *testNode {
	t.Helper()
	n := &testNode{service: standin.NewService(t.Context(), standin.CallTime(callTime))}
	server := httptest.NewServer(n.service)
	t.Cleanup(server.Close)
	s := setting.Defaults()
	s.Node, s.DataCentre = "all", "dc"
	s.Roles = []setting.Role{setting.RoleControl, setting.RoleAgent, setting.RoleEntry}
	s.Listen, s.Entry.CallerListen = freeAddress(t), freeAddress(t)
	s.Advertise, s.Controls, s.Control.Bootstrap = s.Listen, []string{s.Listen}, []string{"all=" + s.Listen}
	s.Entry.BalancerMS = balancer.Milliseconds()
	s.Agent.Endpoint, s.Agent.Service, s.Agent.EndpointURL, s.Agent.Kind = "desk-1", "desk", server.URL, string(setting.KindPlain)
	for _, change := range changes {
		change(&s)
	}
	first := catalog.Catalog{
		Services: []catalog.Service{{Name: "desk", Kind: catalog.KindPlain}},
		Presets:  []catalog.Preset{{Name: "Ordinary", IdleWeight: 1}}, Preset: "Ordinary",
	}
	ctx, stop := context.WithCancel(context.Background())
	abortCtx, abort := context.WithCancel(context.Background())
	n.base, n.stop, n.abort = "http://"+s.Entry.CallerListen, stop, abort
	n.ended = New(s, WithListen(listenReserved), WithFirstCatalog(first), WithAbort(abortCtx)).Run(ctx)
	t.Cleanup(func() {
		stop()
		abort()
	})
	waitUntil(t, func() bool {
		return n.get("/healthz") == http.StatusOK && n.get("/services/desk/ready") == http.StatusOK
	})
	return n
}

func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	reserved.Store(listener.Addr().String(), listener)
	return listener.Addr().String()
}

// reserved holds open listeners by address until the process uses them.
var reserved sync.Map

func listenReserved(_ context.Context, address string) (net.Listener, error) {
	listener, _ := reserved.LoadAndDelete(address)
	return listener.(net.Listener), nil
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not met in time")
		}
	}
}

func (s *testNode) get(path string) int {
	response, err := http.Get(s.base + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// book sends a booking and returns the response's status and, if it was rejected, the problem's code and run.
func (s *testNode) book(key string) (status int, refusal string) {
	return s.bookWith(context.Background(), key)
}

func (s *testNode) bookWith(ctx context.Context, key string) (status int, refusal string) {
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, s.base+"/services/desk/bookings", strings.NewReader(key))
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, _ := io.ReadAll(response.Body)
	var problem struct{ Code, Run string }
	_ = json.Unmarshal(body, &problem)
	return response.StatusCode, problem.Code + " " + problem.Run
}

// TestStopFinishesRunningRequests shuts the process down while a booking runs. The booking must be answered, the health
// check must fail before new requests are rejected, and rejected requests must not have run.
func TestStopFinishesRunningRequests(t *testing.T) {
	s := startNode(t, 1500*time.Millisecond, 300*time.Millisecond)
	answered := make(chan int, 1)
	go func() {
		status, _ := s.book("running")
		answered <- status
	}()
	waitUntil(t, func() bool { return s.service.Runs()["running"] == 1 })
	s.stop()
	waitUntil(t, func() bool { return s.get("/healthz") == http.StatusServiceUnavailable })
	// Bookings are still accepted until the load balancer's time has passed.
	lastKey, refusal := "", ""
	for tries := 0; refusal != "Stopping NotRun" && tries < 100; tries++ {
		lastKey = "late-" + strconv.Itoa(tries)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		_, refusal = s.bookWith(ctx, lastKey)
		cancel()
	}
	if refusal != "Stopping NotRun" {
		t.Errorf("a request during the shutdown got %q", refusal)
	}
	if status := <-answered; status != http.StatusOK {
		t.Errorf("the running booking got %d", status)
	}
	if err := <-s.ended; err != nil {
		t.Errorf("the process ended with %v", err)
	}
	runs := s.service.Runs()
	if runs["running"] != 1 || runs[lastKey] != 0 {
		t.Errorf("runs %v", runs)
	}
}

// TestEndOfPartEndsProcess guards against a process that goes on without one of its parts, so that nothing starts it again: its peers can't
// call it any more.
func TestEndOfPartEndsProcess(t *testing.T) {
	var peers net.Listener
	s := startNode(t, 0, 0, func(s *setting.Settings) {
		listener, _ := reserved.Load(s.Listen)
		peers = listener.(net.Listener)
	})
	if status, refusal := s.book("before"); status != http.StatusOK {
		t.Errorf("a booking got %d, %s", status, refusal)
	}
	if err := peers.Close(); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-s.ended:
		if !errors.Is(err, net.ErrClosed) {
			t.Errorf("the process ended with %v", err)
		}
	case <-time.After(testTimeout):
		t.Error("the process did not end")
	}
}

// TestSecondSignalAbortsStop checks that a graceful shutdown waits for a request that never ends, until the abort context ends.
func TestSecondSignalAbortsStop(t *testing.T) {
	s := startNode(t, 0, 0)
	s.service.SetFault(standin.Fault{Silent: true})
	go func() { _, _ = s.book("stuck") }()
	time.Sleep(200 * time.Millisecond)
	s.stop()
	select {
	case err := <-s.ended:
		t.Fatalf("the process ended although a request was open: %v", err)
	case <-time.After(500 * time.Millisecond):
	}
	begin := time.Now()
	s.abort()
	select {
	case err := <-s.ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(testTimeout):
		t.Fatal("the process did not end")
	}
	if took := time.Since(begin); took > 10*time.Second {
		t.Errorf("it took %v", took)
	}
}
