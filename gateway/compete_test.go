package gateway

import (
	"context"
	"io"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"burdocksaddle/endpoint"
	"burdocksaddle/route"
	"burdocksaddle/stream"
	"burdocksaddle/wirepb"
)

// slotEndpoint is an endpoint that runs a number of streams at a time and admits the most urgent waiting one first.
type slotEndpoint struct {
	state   endpoint.State
	running int
	waiting []*slotWaiter
}

type slotWaiter struct {
	urgency  int
	admitted chan struct{}
}

// slotFleet is a set of slotEndpoints behind one gateway.
type slotFleet struct {
	mu        sync.Mutex
	endpoints map[string]*slotEndpoint
}

const slotStreamTime = time.Second

func newSlotFleet(slots int, versions ...string) *slotFleet {
	f := &slotFleet{endpoints: map[string]*slotEndpoint{}}
	for n, version := range versions {
		state := softwareEndpoint("w"+strconv.Itoa(n), version)
		state.Slots = slots
		f.endpoints[state.ID] = &slotEndpoint{state: state}
	}
	return f
}

// states returns the endpoints with their current loads.
func (f *slotFleet) states() []endpoint.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	var states []endpoint.State
	for _, e := range f.endpoints {
		state := e.state
		state.Load = &endpoint.Load{Running: e.running, Waiting: len(e.waiting)}
		states = append(states, state)
	}
	return states
}

// send admits a call once a slot is free; its first event comes then, its end slotStreamTime later.
func (f *slotFleet) send(ctx context.Context, call Call) (*Response, error) {
	e := f.endpoints[call.Endpoint]
	f.mu.Lock()
	w := &slotWaiter{call.Urgency, make(chan struct{})}
	e.waiting = append(e.waiting, w)
	f.admitLocked(e)
	f.mu.Unlock()
	select {
	case <-w.admitted:
	case <-ctx.Done():
		f.mu.Lock()
		defer f.mu.Unlock()
		if at := slices.Index(e.waiting, w); at >= 0 {
			e.waiting = slices.Delete(e.waiting, at, at+1)
		} else {
			e.running--
			f.admitLocked(e)
		}
		return nil, ErrNotSent{Endpoint: call.Endpoint, Cause: ctx.Err()}
	}
	time.AfterFunc(slotStreamTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		e.running--
		f.admitLocked(e)
	})
	return streamResponse(1, io.EOF), nil
}

func (f *slotFleet) admitLocked(e *slotEndpoint) {
	for e.running < e.state.Slots && len(e.waiting) > 0 {
		first := e.waiting[0]
		for _, w := range e.waiting {
			if w.urgency < first.urgency {
				first = w
			}
		}
		e.waiting = slices.Delete(e.waiting, slices.Index(e.waiting, first), slices.Index(e.waiting, first)+1)
		e.running++
		close(first.admitted)
	}
}

// TestResumedStreamsCompeteWithNewRequests guards against resumed streams that leave while they wait behind new requests: all gateways were
// killed, their streams are resumed within a second, two of eight endpoints run their version, and twice the usual new requests arrive. The
// fraction of resumed streams that continue must be at least half the fraction of new ones that start.
func TestResumedStreamsCompeteWithNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, resumedStreams, steps = 16, 48, 400
		fleet := newSlotFleet(slots, "v1", "v1", "v2", "v2", "v2", "v2", "v2", "v2")
		b := newTestGateway(t, fleet.send, fleet.states()...)
		b.applySnapshot("s", committedSnapshot("v1", "v2"))
		var mu sync.Mutex
		var clients sync.WaitGroup
		sent, served := map[bool]int{}, map[bool]int{}
		client := func(r Request) {
			clients.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), minClientStreamTimeout)
				defer cancel()
				r.ClientTimeout = 8 * time.Second
				got := b.do(ctx, "/live/a", testModel, r)
				mu.Lock()
				defer mu.Unlock()
				sent[r.Resumes != ""]++
				if got.Events > 0 {
					served[r.Resumes != ""]++
				}
			})
		}
		for step := range steps {
			if step%10 == 0 {
				b.setEndpoints(fleet.states()...)
			}
			// Usual are as many as fill three quarters of the slots, 0.96 of them in each step of 10 ms.
			for n := range 2 {
				client(Request{ID: "new" + strconv.Itoa(2*step+n)})
			}
			if step >= 200 && step%2 == 0 && step < 200+2*resumedStreams {
				id := "old" + strconv.Itoa(step)
				b.Gateway.mu.Lock()
				b.resumption.starts.Record(stream.Start{ID: xxhash.Sum64String(id), Origin: stream.Origin{Service: "engines", Software: "v1"}}, time.Now())
				b.Gateway.mu.Unlock()
				client(Request{ID: "again" + id, Resumes: id, LastEvent: "1"})
			}
			time.Sleep(10 * time.Millisecond)
		}
		clients.Wait()
		time.Sleep(time.Minute)
		started, continued := float64(served[false])/float64(sent[false]), float64(served[true])/float64(sent[true])
		t.Logf("%d of %d new streams started, %d of %d resumed streams continued", served[false], sent[false], served[true], sent[true])
		if sent[true] != resumedStreams || 2*continued < started {
			t.Errorf("%.2f of new streams started, %.2f of resumed streams continued", started, continued)
		}
	})
}

// TestUrgencyOfResumedStreams guards against new requests that are admitted before resumed streams, and against another urgency than the
// route's while a service runs one version.
func TestUrgencyOfResumedStreams(t *testing.T) {
	both, one := []string{"v1", "v2"}, []string{"v1", "v1"}
	tests := map[string]struct {
		versions      []string
		resumed       bool
		lastEvents    int
		wantUrgencies []int
	}{
		"new, two versions":                         {both, false, 0, []int{2}},
		"new, one version":                          {one, false, 0, []int{1}},
		"resumed, two versions":                     {both, true, 0, []int{1}},
		"resumed, one version":                      {one, true, 0, []int{1}},
		"new, broken off and continued, one of two": {append(both, "v1", "v2"), false, 2, []int{2, 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var states []endpoint.State
				for n, version := range test.versions {
					states = append(states, softwareEndpoint("w"+strconv.Itoa(n), version))
				}
				var b *testGateway
				b = newTestGateway(t, func(context.Context, Call) (*Response, error) {
					if test.lastEvents > 0 && len(b.calls) == 1 {
						return streamResponse(test.lastEvents, errCrash), nil
					}
					return streamResponse(3, io.EOF), nil
				}, states...)
				request := Request{ID: "r1", ClientTimeout: 8 * time.Second}
				if test.resumed {
					b.resumption.starts.Record(stream.Start{ID: xxhash.Sum64String("r0"), Origin: stream.Origin{Service: "engines", Software: "v1"}}, time.Now())
					request.Resumes, request.LastEvent = "r0", "1"
				}
				b.do(t.Context(), "/live/a", testModel, request)
				var got []int
				for _, call := range b.calls {
					got = append(got, call.Urgency)
				}
				if diff := cmp.Diff(test.wantUrgencies, got); diff != "" {
					t.Error(diff)
				}
				least := &transaction{Gateway: b.Gateway, service: "engines", route: route.Route{Priority: lowestUrgency}}
				if urgency := least.urgency(); urgency != lowestUrgency {
					t.Errorf("urgency %d, endpoints support at most %d", urgency, lowestUrgency)
				}
			})
		})
	}
}

// TestNewRequestsLeaveSlotsToResumedStreams guards against new requests that take the last slots of the few endpoints at which a stream may
// continue, while another endpoint can serve them.
func TestNewRequestsLeaveSlotsToResumedStreams(t *testing.T) {
	tests := map[string]struct {
		versions []string
		// running are the requests by endpoint, of 32 slots each.
		running []int
		origin  *stream.Origin
		want    map[string]bool
	}{
		"new, the other one has less free":     {[]string{"v1", "v2"}, []int{28, 27}, nil, map[string]bool{"w1": true}},
		"new, both have little":                {[]string{"v1", "v2"}, []int{28, 28}, nil, map[string]bool{"w0": true, "w1": true}},
		"new, both have enough":                {[]string{"v1", "v2"}, []int{27, 27}, nil, map[string]bool{"w0": true, "w1": true}},
		"new, one version":                     {[]string{"v1", "v1"}, []int{28, 28}, nil, map[string]bool{"w0": true, "w1": true}},
		"resumed, its version has little free": {[]string{"v1", "v2"}, []int{31, 0}, &stream.Origin{Service: "engines", Software: "v1"}, map[string]bool{"w0": true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var states []endpoint.State
				for n, version := range test.versions {
					state := softwareEndpoint("w"+strconv.Itoa(n), version)
					state.Load = &endpoint.Load{Running: test.running[n]}
					states = append(states, state)
				}
				b := newTestGateway(t, nil, states...)
				got := map[string]bool{}
				b.Gateway.mu.Lock()
				defer b.Gateway.mu.Unlock()
				for range 200 {
					b.setEndpointsLocked(states, time.Now())
					c, _, ok := b.chooseLocked(&Request{Model: testModel}, "engines", test.origin, nil, time.Now())
					if !ok {
						t.Fatal("no endpoint")
					}
					got[c.endpoint.Name] = true
				}
				if test.origin == nil && len(test.want) == 2 && test.running[0] == test.running[1] {
					if diff := cmp.Diff(test.want, got); diff != "" {
						t.Error(diff)
					}
					return
				}
				for name := range got {
					if !test.want[name] {
						t.Errorf("chose %s", name)
					}
				}
			})
		})
	}
}

// TestResumedStreamWaitsForItsModel guards against resumed streams that are rejected because of the store's load time although the leader
// loads their model from a local copy at an endpoint of their version, and against a wait that can't end in time.
func TestResumedStreamWaitsForItsModel(t *testing.T) {
	tests := map[string]struct {
		clientTimeout, loadedAfter time.Duration
		other                      string
		served                     bool
		// minTook and maxTook bound the time to the answer.
		minTook, maxTook time.Duration
		resuming         []*wirepb.ResumingDemand
	}{
		"loaded in time":                       {8 * time.Second, 900 * time.Millisecond, "v2", true, 900 * time.Millisecond, 950 * time.Millisecond, []*wirepb.ResumingDemand{{Software: "v1", Waiting: 1}}},
		"never loaded":                         {8 * time.Second, time.Hour, "v2", false, 0, minClientStreamTimeout + retryInterval, []*wirepb.ResumingDemand{{Software: "v1", Waiting: 1}}},
		"too little time for a load from disk": {time.Second, 900 * time.Millisecond, "v2", false, 0, 0, []*wirepb.ResumingDemand{{Software: "v1", Missed: 1}}},
		"one version, load from the store":     {8 * time.Second, 900 * time.Millisecond, "", false, 0, 0, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				without := engineEndpoint("w0")
				without.Software = "v1"
				states := []endpoint.State{without}
				if test.other != "" {
					states = append(states, softwareEndpoint("w1", test.other))
				}
				b := newTestGateway(t, func(context.Context, Call) (*Response, error) { return streamResponse(3, io.EOF), nil }, states...)
				b.applySnapshot("steward", &wirepb.Snapshot{Leads: true})
				b.resumption.starts.Record(stream.Start{ID: xxhash.Sum64String("r0"), Origin: stream.Origin{Service: "engines", Software: "v1"}}, time.Now())
				var resuming []*wirepb.ResumingDemand
				time.AfterFunc(500*time.Millisecond, func() {
					b.Gateway.mu.Lock()
					defer b.Gateway.mu.Unlock()
					resuming = b.resumption.resumingLocked("engines", testModel)
				})
				time.AfterFunc(test.loadedAfter, func() { b.setEndpoints(softwareEndpoint("w0", "v1"), softwareEndpoint("w1", "v2")) })
				got := b.do(t.Context(), "/live/a", testModel, Request{ID: "again", Resumes: "r0", LastEvent: "1", ClientTimeout: test.clientTimeout})
				if served := got.Status == 200 && len(b.calls) == 1 && b.calls[0].Endpoint == "w0"; served != test.served || got.Took < test.minTook || got.Took > test.maxTook {
					t.Errorf("calls %v, %+v", b.calls, got)
				}
				time.Sleep(2 * time.Hour)
				b.Gateway.mu.Lock()
				defer b.Gateway.mu.Unlock()
				if diff := cmp.Diff(test.resuming, resuming, protocmp.Transform()); diff != "" {
					t.Error(diff)
				}
				if left := len(b.resumption.waiting) + len(b.resumption.missing); left != 0 {
					t.Errorf("%d resumed streams still counted as waiting", left)
				}
			})
		})
	}
}

// TestHopelessResumedStreamIsRefusedAtOnce guards against resumed streams that wait for their model until their clients leave although the
// leader knows that no endpoint of their version can load it in time.
func TestHopelessResumedStreamIsRefusedAtOnce(t *testing.T) {
	tests := map[string]struct {
		expected endpoint.Expected
		software string
		want     clientResult
	}{
		"load from the store": {endpoint.Expected{Wait: 6300 * time.Millisecond}, "v1", clientResult{Status: 503, Refused: true, After: 6300 * time.Millisecond}},
		"load ends in time":   {endpoint.Expected{Wait: time.Second, Loading: true}, "v1", clientResult{Status: 200, Started: true, Events: 3, Took: time.Second}},
		"at another version":  {endpoint.Expected{Wait: 6300 * time.Millisecond}, "v2", clientResult{Status: 200, Started: true, Events: 3, Took: time.Second}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				without := engineEndpoint("w0")
				without.Software = "v1"
				b := newTestGateway(t, func(context.Context, Call) (*Response, error) { return streamResponse(3, io.EOF), nil }, without, softwareEndpoint("w1", "v2"))
				b.leaderView = &endpoint.SubscriberView{ExpectedAt: time.Now(), Expected: map[endpoint.Absent]endpoint.Expected{{Model: testModel, Software: test.software}: test.expected}}
				b.resumption.starts.Record(stream.Start{ID: xxhash.Sum64String("r0"), Origin: stream.Origin{Service: "engines", Software: "v1"}}, time.Now())
				time.AfterFunc(time.Second, func() { b.setEndpoints(softwareEndpoint("w0", "v1"), softwareEndpoint("w1", "v2")) })
				got := b.do(t.Context(), "/live/a", testModel, Request{ID: "again", Resumes: "r0", LastEvent: "1", ClientTimeout: 8 * time.Second})
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Errorf("answer (-want +got):\n%s", diff)
				}
				time.Sleep(time.Second)
			})
		})
	}
}
