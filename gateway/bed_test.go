package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/route"
	"burdocksaddle/wire"
)

// bed is a gateway whose endpoints are a function.
type bed struct {
	*Gateway
	mu    sync.Mutex
	calls []Call
}

const (
	bedHost  = "one.example"
	bedModel = "rare"
)

// bedTable has a resumable, a plain and a once-only route.
func bedTable(t *testing.T) *route.Table {
	t.Helper()
	split := func(service string) []route.Split { return []route.Split{{Service: service, Weight: 1}} }
	routes := []route.Route{
		{Name: "live", Host: bedHost, Prefix: "/live/", Kind: route.KindStream, Resumable: true, MaxAttempts: 2,
			Timeout: 12 * time.Second, Objective: 500 * time.Millisecond, Gap: 200 * time.Millisecond, Priority: 1, Splits: split("engines")},
		{Name: "draft", Host: bedHost, Prefix: "/draft/", Kind: route.KindStream, MaxAttempts: 1, Timeout: 20 * time.Second,
			Objective: 2 * time.Second, Gap: 200 * time.Millisecond, Priority: 1, Splits: split("engines")},
		{Name: "read", Host: bedHost, Prefix: "/read/", Kind: route.KindIdempotent, MaxAttempts: 2, Timeout: time.Second,
			Objective: 100 * time.Millisecond, Priority: 2, Splits: split("desk")},
		{Name: "book", Host: bedHost, Prefix: "/book/", Kind: route.KindOnce, MaxAttempts: 1, Timeout: time.Second,
			Objective: 100 * time.Millisecond, Priority: 2, Splits: split("desk")},
	}
	engine := &route.Engine{Slots: 32, MemoryMB: 80_000, AdapterSlots: 8, KVTokens: 90_000, LoadsPerSecond: 5, Models: []route.Model{
		{Name: bedModel, WeightsMB: 30_000, Adapters: 4, AdapterMB: 40, FromStore: 6 * time.Second, FromDisk: time.Second, FromMemory: 400 * time.Millisecond},
	}}
	table, err := route.New(1, routes, []route.Service{{Name: "engines", Engine: engine}, {Name: "desk"}}, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func newBed(t *testing.T, send func(ctx context.Context, call Call) (*Answer, error), endpoints ...endpoint.State) *bed {
	t.Helper()
	b := &bed{}
	b.Gateway = New(Config{Node: "test", DataCentre: "here", RetryRatio: 0.2, RetryExtra: 56}, wire.NewPool(), WithSend(
		func(ctx context.Context, call Call) (*Answer, error) {
			b.mu.Lock()
			b.calls = append(b.calls, call)
			b.mu.Unlock()
			return send(ctx, call)
		}))
	b.table.Store(bedTable(t))
	b.show(endpoints...)
	return b
}

// show makes the gateway see endpoints, as a steward's snapshot would.
func (b *bed) show(endpoints ...endpoint.State) {
	b.Gateway.mu.Lock()
	defer b.Gateway.mu.Unlock()
	b.shown = time.Now()
	b.takeEndpointsLocked(endpoints, time.Now())
}

func engineEndpoint(id string, models ...string) endpoint.State {
	w := endpoint.State{ID: id, Service: "engines", Address: id + ":1", DataCentre: "here", Slots: 32, Load: &endpoint.Load{}}
	for _, m := range models {
		w.Models = append(w.Models, endpoint.Model{Name: m})
	}
	return w
}

func deskEndpoint(id string) endpoint.State {
	return endpoint.State{ID: id, Service: "desk", Address: id + ":1", DataCentre: "here", Slots: 6}
}

// got is what a client saw.
type got struct {
	Status  int
	Refused bool
	Begun   bool
	Cut     bool
	Events  int
	After   time.Duration
	Took    time.Duration
}

// ask sends one request through the gateway and returns what its client saw.
func (b *bed) ask(ctx context.Context, path, model string, patience time.Duration) got {
	var seen got
	began := time.Now()
	wire, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+bedHost+path, http.NoBody)
	if err != nil {
		panic(err)
	}
	model, adapter, _ := strings.Cut(model, "/")
	request := &Request{ID: "r1", Host: bedHost, Path: path, Model: model, Adapter: adapter, Patience: patience, Arrived: began, Wire: wire}
	b.Serve(ctx, request, Client{
		Answer: func(status int, _ http.Header, _ []byte) error { seen.Status = status; return nil },
		Begin:  func(status int, _ http.Header) error { seen.Status, seen.Begun = status, true; return nil },
		Event:  func([]byte) error { seen.Events++; return nil },
		Refuse: func(r Refusal) { seen.Status, seen.Refused, seen.After = r.Status, true, r.After },
		Cut:    func() { seen.Cut = true },
	})
	seen.Took = time.Since(began)
	return seen
}

// events returns an answer that gives a number of events and then ends as told.
func events(count int, end error) *Answer {
	given := 0
	return &Answer{Status: http.StatusOK, Signed: true, Close: func() {}, Next: func() ([]byte, string, error) {
		if given == count {
			return nil, "", end
		}
		given++
		return []byte("data: x\n\n"), string(rune('0' + given)), nil
	}}
}

func whole(status int) *Answer {
	return &Answer{Status: status, Signed: true, Body: []byte("ok"), Close: func() {}}
}

func notRun() *Answer {
	return &Answer{Status: http.StatusServiceUnavailable, NotRun: true, Close: func() {}}
}

var errCrash = ErrBroken{Endpoint: "w1", Cause: io.ErrUnexpectedEOF}
