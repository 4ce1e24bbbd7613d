package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/route"
	"burdocksaddle/wire"
)

// testGateway is a gateway whose endpoints are simulated by a function.
type testGateway struct {
	*Gateway
	mu    sync.Mutex
	calls []Call
}

const (
	testHost  = "one.example"
	testModel = "rare"
	// testKey is the key of all requests that tests send.
	testKey = 42
)

// newTestTable returns a table with a resumable and a non-resumable stream route, an idempotent route and a once-only
// route.
func newTestTable(t *testing.T) *route.Table {
	t.Helper()
	split := func(service string) []route.Split { return []route.Split{{Service: service, Weight: 1}} }
	routes := []route.Route{
		{Name: "live", Host: testHost, Prefix: "/live/", Kind: route.KindStream, Resumable: true, MaxAttempts: 2,
			Timeout: 12 * time.Second, LatencyObjective: 500 * time.Millisecond, MaxEventGap: 200 * time.Millisecond, Priority: 1, Splits: split("engines")},
		{Name: "draft", Host: testHost, Prefix: "/draft/", Kind: route.KindStream, MaxAttempts: 1, Timeout: 20 * time.Second,
			LatencyObjective: 2 * time.Second, MaxEventGap: 200 * time.Millisecond, Priority: 1, Splits: split("engines")},
		{Name: "read", Host: testHost, Prefix: "/read/", Kind: route.KindIdempotent, MaxAttempts: 2, Timeout: time.Second,
			LatencyObjective: 100 * time.Millisecond, Priority: 2, Splits: split("desk")},
		{Name: "book", Host: testHost, Prefix: "/book/", Kind: route.KindAtMostOnce, MaxAttempts: 1, Timeout: time.Second,
			LatencyObjective: 100 * time.Millisecond, Priority: 2, Splits: split("desk")},
	}
	engine := &route.Engine{Slots: 32, MemoryMB: 80_000, AdapterSlots: 8, KVTokens: 90_000, LoadsPerSecond: 5, Models: []route.Model{
		{Name: testModel, WeightsMB: 30_000, Adapters: 4, AdapterMB: 40, StoreLoadTime: 6 * time.Second, DiskLoadTime: time.Second, MemoryLoadTime: 400 * time.Millisecond},
	}}
	table, err := route.New(1, routes, []route.Service{{Name: "engines", Engine: engine}, {Name: "desk"}}, route.Limits{})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

func newTestGateway(t *testing.T, send func(ctx context.Context, call Call) (*Response, error), endpoints ...endpoint.State) *testGateway {
	t.Helper()
	b := &testGateway{}
	b.Gateway = New(Config{Node: "test", DataCentre: "here", RetryRatio: 0.2, RetryExtra: 56}, wire.NewPool(), WithSend(
		func(ctx context.Context, call Call) (*Response, error) {
			b.mu.Lock()
			b.calls = append(b.calls, call)
			b.mu.Unlock()
			response, err := send(ctx, call)
			return numberedAfter(response, call.LastEvent), err
		}))
	b.table.Store(newTestTable(t))
	b.setEndpoints(endpoints...)
	return b
}

// setEndpoints sets the known endpoints as a steward's snapshot would.
func (b *testGateway) setEndpoints(endpoints ...endpoint.State) {
	b.Gateway.mu.Lock()
	defer b.Gateway.mu.Unlock()
	b.endpointsUpdatedAt = time.Now()
	b.setEndpointsLocked(endpoints, time.Now())
}

func engineEndpoint(id string, models ...string) endpoint.State {
	state := endpoint.State{ID: id, Service: "engines", Address: id + ":1", DataCentre: "here", Slots: 32, Load: &endpoint.Load{}}
	for _, m := range models {
		state.Models = append(state.Models, endpoint.Model{Name: m})
	}
	return state
}

func plainEndpoint(id string) endpoint.State {
	return endpoint.State{ID: id, Service: "desk", Address: id + ":1", DataCentre: "here", Slots: 6}
}

// clientResult is the response as the client sees it.
type clientResult struct {
	Status  int
	Refused bool
	Started bool
	Cut     bool
	Events  int
	After   time.Duration
	Took    time.Duration
}

// doRequest sends one request through the gateway and returns the client's view of the response.
func (b *testGateway) doRequest(ctx context.Context, path, model string, clientTimeout time.Duration, sharedParts ...uint64) clientResult {
	return b.do(ctx, path, model, Request{ID: "r1", ClientTimeout: clientTimeout, SharedParts: sharedParts})
}

// takeUp takes up a stream after its first event.
func (b *testGateway) takeUp(ctx context.Context, id string) clientResult {
	return b.do(ctx, "/live/a", testModel, Request{ID: "again", Resumes: id, LastEvent: "1", ClientTimeout: 8 * time.Second})
}

func (b *testGateway) do(ctx context.Context, path, model string, request Request) clientResult {
	var result clientResult
	began := time.Now()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+testHost+path, http.NoBody)
	if err != nil {
		panic(err)
	}
	request.Host, request.Path, request.Arrived, request.HTTPRequest, request.Key = testHost, path, began, httpRequest, testKey
	request.Model, request.Adapter, _ = strings.Cut(model, "/")
	b.Serve(ctx, &request, Responder{
		Respond: func(status int, _ http.Header, _ []byte) error { result.Status = status; return nil },
		Begin:   func(status int, _ http.Header) error { result.Status, result.Started = status, true; return nil },
		Event:   func([]byte) error { result.Events++; return nil },
		Refuse:  func(r Refusal) { result.Status, result.Refused, result.After = r.Status, true, r.RetryAfter },
		Abort:   func() { result.Cut = true },
	})
	result.Took = time.Since(began)
	return result
}

// streamResponse returns a response with the given number of events that then ends with the error.
func streamResponse(count int, end error) *Response {
	sent := 0
	return &Response{Status: http.StatusOK, Signed: true, Close: func() {}, Next: func() ([]byte, string, error) {
		if sent == count {
			return nil, "", end
		}
		sent++
		return []byte("data: x\n\n"), string(rune('0' + sent)), nil
	}}
}

// numberedAfter numbers the events of a stream's response from the one that it was resumed after, as endpoints do.
func numberedAfter(response *Response, lastEvent string) *Response {
	last, err := strconv.Atoi(lastEvent)
	if err != nil || response == nil || response.Next == nil {
		return response
	}
	next := response.Next
	response.Next = func() ([]byte, string, error) {
		event, id, err := next()
		if n, idErr := strconv.Atoi(id); idErr == nil {
			id = strconv.Itoa(last + n)
		}
		return event, id, err
	}
	return response
}

func bufferedResponse(status int) *Response {
	return &Response{Status: status, Signed: true, Body: []byte("ok"), Close: func() {}}
}

func notRunResponse() *Response {
	return &Response{Status: http.StatusServiceUnavailable, NotRun: true, Close: func() {}}
}

var errCrash = ErrIncompleteResponse{Endpoint: "w1", Cause: io.ErrUnexpectedEOF}
