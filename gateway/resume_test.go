package gateway

import (
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"

	"burdocksaddle/endpoint"
	"burdocksaddle/stream"
	"burdocksaddle/wirepb"
)

// softwareEndpoint returns an endpoint with a version of its software.
func softwareEndpoint(id, software string) endpoint.State {
	state := engineEndpoint(id, testModel)
	state.Software = software
	return state
}

// TestBrokenStreamGoesOnAtItsSoftwareVersion checks where a stream goes on within a response after its endpoint has broken it off.
func TestBrokenStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	tests := map[string]struct {
		// events is how many events come before the break, others the versions of the other endpoints.
		events int
		others []string
		// want are the versions at which it may go on, none if the response must be cut.
		want []string
	}{
		"another endpoint of its version":  {2, []string{"v2", "v2", "v1", "v3"}, []string{"v1"}},
		"only endpoints of other versions": {2, []string{"v2", "v3"}, nil},
		"no other endpoint":                {2, nil, nil},
		"before its first event":           {0, []string{"v2", "v3"}, []string{"v2", "v3"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				others, software := []endpoint.State{}, map[string]string{}
				for n, version := range test.others {
					id := "w" + strconv.Itoa(n+1)
					others, software[id] = append(others, softwareEndpoint(id, version)), version
				}
				var b *testGateway
				b = newTestGateway(t, func(_ context.Context, call Call) (*Response, error) {
					if call.Endpoint == "w0" {
						b.setEndpoints(others...)
						return streamResponse(test.events, errCrash), nil
					}
					return streamResponse(3, io.EOF), nil
				}, softwareEndpoint("w0", "v1"))
				got := b.doRequest(t.Context(), "/live/a", testModel, 8*time.Second)
				if test.want == nil {
					if !got.Cut || len(b.calls) != 1 || got.Took > time.Second {
						t.Errorf("%d calls, %+v", len(b.calls), got)
					}
					return
				}
				if got.Cut || got.Events != test.events+3 || len(b.calls) != 2 {
					t.Fatalf("%d calls, %+v", len(b.calls), got)
				}
				if version := software[b.calls[1].Endpoint]; !slices.Contains(test.want, version) {
					t.Errorf("went on at version %s", version)
				}
			})
		})
	}
}

// takenUpTest is a case in which a client takes a stream up.
type takenUpTest struct {
	// versions are those of the endpoints, local where this gateway began the stream, "" for nowhere.
	versions []string
	local    string
	// replies are the stewards' answers, nil for none; age is how long the gateway has been running, stale how old its view is.
	replies    []*wirepb.OriginReply
	age, stale time.Duration
	// want is the version at which it goes on, "" if the request must be refused.
	want  string
	asked bool
}

// TestTakenUpStreamGoesOnAtItsSoftwareVersion checks where a stream goes on that a client takes up, by what is known of its start.
func TestTakenUpStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	known := func(service, software string) *wirepb.OriginReply {
		return &wirepb.OriginReply{Known: true, Service: service, Software: software, Used: true}
	}
	both, one := []string{"v1", "v2"}, []string{"v1", "v1"}
	tests := map[string]takenUpTest{
		"begun here":                           {both, "v2", nil, 0, 0, "v2", false},
		"begun elsewhere":                      {both, "", []*wirepb.OriginReply{{Used: true}, known("engines", "v2")}, 0, 0, "v2", true},
		"one steward does not answer":          {both, "", []*wirepb.OriginReply{nil, known("engines", "v1")}, 0, 0, "v1", true},
		"no steward knows it":                  {both, "", []*wirepb.OriginReply{{Used: true}, {Used: true}}, 0, 0, "", true},
		"no steward knows any":                 {both, "", []*wirepb.OriginReply{{}, {}}, 0, 0, "", true},
		"no steward answers":                   {both, "", []*wirepb.OriginReply{nil, nil}, 0, 0, "", true},
		"its version is gone":                  {one, "v2", nil, 0, 0, "", false},
		"its service is not in the route":      {both, "", []*wirepb.OriginReply{known("desk", "v1")}, 0, 0, "", true},
		"only one version, none other told":    {one, "", []*wirepb.OriginReply{{}, {}}, 0, 0, "v1", true},
		"only one version left":                {one, "", []*wirepb.OriginReply{{Used: true}, {}}, 0, 0, "", true},
		"only one version, no answer":          {one, "", []*wirepb.OriginReply{nil}, 0, 0, "", true},
		"only one version for long":            {one, "", nil, 2 * stream.TTL, 0, "v1", false},
		"only one version by an outdated view": {one, "", []*wirepb.OriginReply{{}}, 2 * stream.TTL, time.Minute, "", true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { synctest.Test(t, test.run) })
	}
}

// run takes the stream up. Nothing has come from the stewards before: their connections may have been reset together with the client's.
func (test takenUpTest) run(t *testing.T) {
	software := map[string]string{}
	b := newTestGateway(t, func(context.Context, Call) (*Response, error) { return streamResponse(3, io.EOF), nil })
	var asked atomic.Bool
	b.askOrigin = func(_ context.Context, steward string, query *wirepb.OriginQuery) (*wirepb.OriginReply, error) {
		asked.Store(true)
		n, _ := strconv.Atoi(steward)
		if reply := test.replies[n]; reply != nil && query.GetService() == "engines" && query.GetStream() == xxhash.Sum64String("r0") {
			return reply, nil
		}
		return nil, errors.New("no answer")
	}
	var stewards []string
	for n := range test.replies {
		stewards = append(stewards, strconv.Itoa(n))
	}
	b.SetStewards(stewards)
	if test.local != "" {
		b.resumption.starts.Record(stream.Start{ID: xxhash.Sum64String("r0"), Origin: stream.Origin{Service: "engines", Software: test.local}}, time.Now())
	}
	time.Sleep(test.age)
	var states []endpoint.State
	for n, version := range test.versions {
		id := "w" + strconv.Itoa(n)
		states, software[id] = append(states, softwareEndpoint(id, version)), version
	}
	b.setEndpoints(states...)
	time.Sleep(test.stale)
	got := b.takeUp(t.Context(), "r0")
	if asked.Load() != test.asked {
		t.Errorf("asked %t", asked.Load())
	}
	if test.want == "" {
		if got.Status != 503 || got.After == 0 || got.Took != 0 || len(b.calls) > 0 {
			t.Errorf("%d calls, %+v", len(b.calls), got)
		}
		return
	}
	if got.Status != 200 || len(b.calls) != 1 || software[b.calls[0].Endpoint] != test.want {
		t.Errorf("%v, %+v", b.calls, got)
	}
}

// TestStartsAreToldWhileVersionsDiffer checks which starts stewards are told of, and that one which reconnects is told of all.
func TestStartsAreToldWhileVersionsDiffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t, func(context.Context, Call) (*Response, error) { return streamResponse(3, io.EOF), nil }, softwareEndpoint("w1", "v1"))
		var told []int
		b.tellStarts = func(_ string, message *wirepb.StreamStarts) bool {
			for _, group := range message.GetGroups() {
				told = append(told, len(group.GetStreams()))
			}
			return true
		}
		report := func(want ...int) {
			t.Helper()
			told = nil
			b.reportStarts()
			if diff := cmp.Diff(want, told); diff != "" {
				t.Error(diff)
			}
		}
		b.applySnapshot("steward", &wirepb.Snapshot{})
		b.doRequest(t.Context(), "/live/a", testModel, 8*time.Second)
		report()
		b.setEndpoints(softwareEndpoint("w1", "v1"), softwareEndpoint("w2", "v2"))
		report(1)
		report()
		b.onStewardLost("steward")
		b.applySnapshot("steward", &wirepb.Snapshot{})
		report(1)
		b.doRequest(t.Context(), "/draft/a", testModel, 8*time.Second)
		report()
	})
}

// TestBrokenStreamDoesNotWaitForItsClientToLeave checks that a stream is cut at once if its model cannot be loaded before its client leaves.
func TestBrokenStreamDoesNotWaitForItsClientToLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b *testGateway
		b = newTestGateway(t, func(context.Context, Call) (*Response, error) {
			without := engineEndpoint("w1")
			without.Software = "v1"
			b.setEndpoints(without)
			return streamResponse(2, errCrash), nil
		}, softwareEndpoint("w0", "v1"))
		b.applySnapshot("steward", &wirepb.Snapshot{Leads: true})
		if got := b.doRequest(t.Context(), "/live/a", testModel, 12*time.Second); !got.Cut || got.Took > time.Second {
			t.Errorf("%+v", got) // its client would leave after 2 s, and the load takes 6 s
		}
	})
}
