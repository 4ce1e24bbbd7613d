package node

import (
	"context"
	"encoding/json"
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

const patience = 20 * time.Second

// site is one process with every role before a plain service.
type site struct {
	base    string
	service *standin.Service
	stop    context.CancelFunc
	abandon context.CancelFunc
	ended   <-chan error
}

func startSite(t *testing.T, callTime, balancer time.Duration) *site {
	t.Helper()
	one := &site{service: standin.NewService(t.Context(), standin.CallTime(callTime))}
	server := httptest.NewServer(one.service)
	t.Cleanup(server.Close)
	s := setting.Defaults()
	s.Node, s.DataCentre = "all", "dc"
	s.Roles = []setting.Role{setting.RoleControl, setting.RoleAgent, setting.RoleEntry}
	s.Listen, s.Entry.CallerListen = freeAddress(t), freeAddress(t)
	s.Advertise, s.Controls, s.Control.Bootstrap = s.Listen, []string{s.Listen}, []string{"all=" + s.Listen}
	s.Entry.BalancerMS = balancer.Milliseconds()
	s.Agent.Endpoint, s.Agent.Service, s.Agent.EndpointURL, s.Agent.Kind = "desk-1", "desk", server.URL, string(setting.KindPlain)
	first := catalog.Catalog{
		Services: []catalog.Service{{Name: "desk", Kind: catalog.KindPlain}},
		Presets:  []catalog.Preset{{Name: "Ordinary", IdleWeight: 1}}, Preset: "Ordinary",
	}
	ctx, stop := context.WithCancel(context.Background())
	abandoned, abandon := context.WithCancel(context.Background())
	one.base, one.stop, one.abandon = "http://"+s.Entry.CallerListen, stop, abandon
	one.ended = New(s, WithListen(listenReserved), WithFirstCatalog(first), WithAbandon(abandoned)).Run(ctx)
	t.Cleanup(func() {
		stop()
		abandon()
	})
	awaitThat(t, func() bool {
		return one.get("/healthz") == http.StatusOK && one.get("/services/desk/ready") == http.StatusOK
	})
	return one
}

func freeAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	reserved.Store(listener.Addr().String(), listener)
	return listener.Addr().String()
}

// reserved holds listeners by address until the process takes them.
var reserved sync.Map

func listenReserved(_ context.Context, address string) (net.Listener, error) {
	listener, _ := reserved.LoadAndDelete(address)
	return listener.(net.Listener), nil
}

func awaitThat(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not in time")
		}
	}
}

func (s *site) get(path string) int {
	response, err := http.Get(s.base + path)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// book sends a booking and returns its status and, of a refusal, code and run.
func (s *site) book(key string) (status int, said string) {
	return s.bookWith(context.Background(), key)
}

func (s *site) bookWith(ctx context.Context, key string) (status int, said string) {
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

// TestStopCutsOffNothing stops the process while a booking runs: it is answered,
// the health check fails first, and later requests are refused, not run.
func TestStopCutsOffNothing(t *testing.T) {
	s := startSite(t, 1500*time.Millisecond, 300*time.Millisecond)
	answered := make(chan int, 1)
	go func() {
		status, _ := s.book("running")
		answered <- status
	}()
	awaitThat(t, func() bool { return s.service.Runs()["running"] == 1 })
	s.stop()
	awaitThat(t, func() bool { return s.get("/healthz") == http.StatusServiceUnavailable })
	// The balancer's time is over soon; a booking until then is taken.
	late, said := "", ""
	for tries := 0; said != "Stopping NotRun" && tries < 100; tries++ {
		late = "late-" + strconv.Itoa(tries)
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		_, said = s.bookWith(ctx, late)
		cancel()
	}
	if said != "Stopping NotRun" {
		t.Errorf("a request during the stop was told %q", said)
	}
	if status := <-answered; status != http.StatusOK {
		t.Errorf("the running booking got %d", status)
	}
	if err := <-s.ended; err != nil {
		t.Errorf("the process ended with %v", err)
	}
	runs := s.service.Runs()
	if runs["running"] != 1 || runs[late] != 0 {
		t.Errorf("runs %v", runs)
	}
}

// TestSecondSignalAbandons gives up a call that would take far longer.
func TestSecondSignalAbandons(t *testing.T) {
	s := startSite(t, 0, 0)
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
	s.abandon()
	select {
	case err := <-s.ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(patience):
		t.Fatal("the process did not end")
	}
	if took := time.Since(begin); took > 10*time.Second {
		t.Errorf("it took %v", took)
	}
}
