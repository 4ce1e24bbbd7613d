package gateway

import (
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
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
	// replies are the stewards' answers, nil for none; age is how long the gateway has been running, stale how old its view is. committed are
	// the versions in the log as a steward's snapshot named them.
	replies    []*wirepb.OriginReply
	age, stale time.Duration
	committed  []string
	// want is the version at which it goes on, "" if the request must be refused.
	want  string
	asked bool
}

// TestTakenUpStreamGoesOnAtItsSoftwareVersion guards against a stream that is joined from two versions: what a client resumes may go on only
// at the version that is known to have begun it, or at the only one that a steward with a quorum and this gateway know.
func TestTakenUpStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	known := func(service, software string) *wirepb.OriginReply {
		return &wirepb.OriginReply{Known: true, Service: service, Software: software, Used: true}
	}
	// names is the answer of a steward that has lost its memory of starts, or never had the stream's.
	names := func(versions ...string) *wirepb.OriginReply {
		return &wirepb.OriginReply{Versions: versions, Proven: true}
	}
	unproven := func(versions ...string) *wirepb.OriginReply { return &wirepb.OriginReply{Versions: versions} }
	replies := func(all ...*wirepb.OriginReply) []*wirepb.OriginReply { return all }
	both, one, reset := []string{"v1", "v2"}, []string{"v1", "v1"}, []string{"", ""}
	tests := map[string]takenUpTest{
		"begun here":                               {versions: both, local: "v2", want: "v2"},
		"begun elsewhere":                          {versions: both, replies: replies(names("v1", "v2"), known("engines", "v2")), want: "v2", asked: true},
		"one steward does not answer":              {versions: both, replies: replies(nil, known("engines", "v1")), want: "v1", asked: true},
		"one steward restarted":                    {versions: one, replies: replies(names("v1", "v2"), known("engines", "v1")), want: "v1", asked: true},
		"no steward knows it":                      {versions: both, replies: replies(names("v1", "v2"), names("v1", "v2")), asked: true},
		"no steward knows any":                     {versions: both, replies: replies(unproven(), unproven()), asked: true},
		"no steward answers":                       {versions: both, replies: replies(nil, nil), asked: true},
		"its version is gone":                      {versions: one, local: "v2"},
		"its service is not in the route":          {versions: both, replies: replies(known("desk", "v1")), asked: true},
		"one version here and in the log":          {versions: one, replies: replies(names("v1"), names("v1")), want: "v1", asked: true},
		"the same, for long":                       {versions: one, replies: replies(names("v1")), age: 2 * stream.TTL, want: "v1", asked: true},
		"one here, two in the log":                 {versions: one, replies: replies(names("v1", "v2"), names("v1", "v2")), asked: true},
		"one here, another in the log":             {versions: one, replies: replies(names("v2")), asked: true},
		"two here, one in the log":                 {versions: both, replies: replies(names("v1")), asked: true},
		"none here, one in the log":                {replies: replies(names("v1")), asked: true},
		"one here, none in the log":                {versions: one, replies: replies(names()), asked: true},
		"one, but no quorum is proven":             {versions: one, replies: replies(unproven("v1"), unproven("v1")), asked: true},
		"one by a new leader, two by a follower":   {versions: one, replies: replies(names("v1"), unproven("v1", "v2")), asked: true},
		"one by answers, two by a former leader":   {versions: one, replies: replies(names("v1")), committed: []string{"v1", "v2"}, asked: true},
		"one, no steward reachable":                {versions: one, replies: replies(nil, nil), asked: true},
		"one for long, no steward reachable":       {versions: one, replies: replies(nil), age: 2 * stream.TTL, asked: true},
		"one, no steward known":                    {versions: one},
		"one by an outdated view":                  {versions: one, replies: replies(names("v1")), age: 2 * stream.TTL, stale: time.Minute, asked: true},
		"begun at an unknown version, two here":    {versions: append(reset, both...), local: "unknown"},
		"begun at an unknown version, none other":  {versions: reset, local: "unknown", want: "unknown"},
		"versions unknown here and in the log":     {versions: reset, replies: replies(names("")), want: "unknown", asked: true},
		"a restarted endpoint beside one version":  {versions: append([]string{""}, one...), replies: replies(names("v1")), want: "v1", asked: true},
		"begun at an unknown version, two in log":  {versions: reset, local: "unknown", committed: []string{"v1", "v2"}},
		"known to a steward, unknown version, two": {versions: append(reset, both...), replies: replies(known("engines", "")), asked: true},
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
	named := func(software string) string { return strings.ReplaceAll(software, "unknown", "") }
	if test.local != "" {
		b.resumption.starts.Record(stream.Start{ID: xxhash.Sum64String("r0"), Origin: stream.Origin{Service: "engines", Software: named(test.local)}}, time.Now())
	}
	if test.committed != nil {
		b.applySnapshot("former", committedSnapshot(test.committed...))
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
	if got.Status != 200 || len(b.calls) != 1 || software[b.calls[0].Endpoint] != named(test.want) {
		t.Errorf("%v, %+v", b.calls, got)
	}
}

// committedSnapshot is a steward's snapshot that names the committed versions of a service that runs several.
func committedSnapshot(versions ...string) *wirepb.Snapshot {
	return &wirepb.Snapshot{Software: &wirepb.SoftwareTable{Revision: 1, Services: []*wirepb.ServiceSoftware{{Service: "engines", Versions: versions}}}}
}

// TestStartsAreToldWhileVersionsDiffer checks which starts stewards are told of, and that one which reconnects is told of all.
func TestStartsAreToldWhileVersionsDiffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestGateway(t, func(context.Context, Call) (*Response, error) { return streamResponse(3, io.EOF), nil }, softwareEndpoint("w1", "v1"))
		var told []int
		b.tellStarts = func(_ string, message *wirepb.StreamStarts) (<-chan struct{}, bool) {
			for _, group := range message.GetGroups() {
				told = append(told, len(group.GetStreams()))
			}
			return closedChannel(), true
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

// closedChannel returns a closed channel.
func closedChannel() <-chan struct{} {
	closed := make(chan struct{})
	close(closed)
	return closed
}

// TestStreamBegunRightBeforeKillContinues guards against starts that are lost if a gateway is killed right after a stream's first event: the
// gateway's periodic reports don't run here.
func TestStreamBegunRightBeforeKillContinues(t *testing.T) {
	tests := map[string]struct {
		versions  []string
		committed []string
		// writeTime is how long a write to a steward takes, wantDelay how long the first event may be held back.
		writeTime, wantDelay time.Duration
		wantTold             bool
	}{
		"two versions here":        {versions: []string{"v1", "v2"}, wantTold: true},
		"two versions in the log":  {versions: []string{"v1"}, committed: []string{"v1", "v2"}, wantTold: true},
		"slow connection":          {versions: []string{"v1", "v2"}, writeTime: 5 * time.Millisecond, wantDelay: 10 * time.Millisecond, wantTold: true},
		"steward that reads never": {versions: []string{"v1", "v2"}, writeTime: time.Hour, wantDelay: startWriteTimeout, wantTold: true},
		"one version":              {versions: []string{"v1"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var endpoints []endpoint.State
				for n, version := range test.versions {
					endpoints = append(endpoints, softwareEndpoint("w"+strconv.Itoa(n), version))
				}
				b := newTestGateway(t, func(context.Context, Call) (*Response, error) { return streamResponse(1, io.EOF), nil }, endpoints...)
				if test.committed != nil {
					b.applySnapshot("s", committedSnapshot(test.committed...))
				}
				b.applySnapshot("s", &wirepb.Snapshot{})
				told := map[uint64]bool{}
				b.applySnapshot("other", &wirepb.Snapshot{})
				queued := map[string]int{}
				b.tellStarts = func(steward string, message *wirepb.StreamStarts) (<-chan struct{}, bool) {
					written := make(chan struct{})
					if steward == "other" {
						close(written)
					} else if queued[steward]++; queued[steward] > 4 {
						return nil, false
					} else {
						time.AfterFunc(test.writeTime, func() {
							b.Gateway.mu.Lock()
							defer b.Gateway.mu.Unlock()
							close(written)
							queued[steward]--
						})
					}
					for _, group := range message.GetGroups() {
						for _, id := range group.GetStreams() {
							told[id] = true
						}
					}
					return written, true
				}
				var clients sync.WaitGroup
				for n := range 20 {
					clients.Go(func() {
						id := "r" + strconv.Itoa(n)
						got := b.do(t.Context(), "/live/a", testModel, Request{ID: id, ClientTimeout: 8 * time.Second})
						b.Gateway.mu.Lock()
						defer b.Gateway.mu.Unlock()
						if got.Events != 1 || got.Took > test.wantDelay || told[xxhash.Sum64String(id)] != test.wantTold {
							t.Errorf("told %t, %+v", told[xxhash.Sum64String(id)], got)
						}
					})
				}
				clients.Wait()
				time.Sleep(2 * time.Hour) // the timers of the last writes
			})
		})
	}
}

// TestUnknownStreamWaitsForProof guards against streams of unknown start that are refused while the stewards elect a leader, and against a
// wait for stewards that can't be reached.
func TestUnknownStreamWaitsForProof(t *testing.T) {
	only := &wirepb.OriginReply{Versions: []string{"v1"}, Proven: true}
	tests := map[string]struct {
		// silent is how long the gateway has heard of no steward.
		silent time.Duration
		// delays are the times until the stewards answer, 0 for never.
		delays   []time.Duration
		reply    *wirepb.OriginReply
		wantOK   bool
		wantTook time.Duration
	}{
		"leader":                          {delays: []time.Duration{time.Millisecond, 2 * time.Millisecond}, reply: only, wantOK: true, wantTook: 2 * time.Millisecond},
		"election":                        {delays: []time.Duration{900 * time.Millisecond, 901 * time.Millisecond}, reply: only, wantOK: true, wantTook: 900 * time.Millisecond},
		"no election in time":             {delays: []time.Duration{1100 * time.Millisecond}, reply: &wirepb.OriginReply{Versions: []string{"v1"}}, wantTook: 1100 * time.Millisecond},
		"one steward stands still":        {delays: []time.Duration{0, time.Millisecond}, reply: only, wantOK: true, wantTook: originTimeout},
		"all stewards stand still":        {delays: []time.Duration{0, 0}, wantTook: originProofTimeout},
		"gateway cut off for some time":   {silent: 2 * maxStewardSilence, delays: []time.Duration{0, 0}, wantTook: originTimeout},
		"gateway heard of no steward yet": {silent: time.Hour, delays: []time.Duration{0, 0}, wantTook: originTimeout},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestGateway(t, func(context.Context, Call) (*Response, error) { return streamResponse(3, io.EOF), nil })
				var stewards []string
				for n := range test.delays {
					stewards = append(stewards, strconv.Itoa(n))
				}
				b.SetStewards(stewards)
				b.askOrigin = func(ctx context.Context, steward string, _ *wirepb.OriginQuery) (*wirepb.OriginReply, error) {
					n, _ := strconv.Atoi(steward)
					if test.delays[n] == 0 {
						<-ctx.Done()
						return nil, ctx.Err()
					}
					select {
					case <-time.After(test.delays[n]):
						return test.reply, nil
					case <-ctx.Done():
						return nil, ctx.Err()
					}
				}
				if test.silent < time.Hour {
					b.applySnapshot("0", &wirepb.Snapshot{})
				}
				time.Sleep(test.silent)
				b.setEndpoints(softwareEndpoint("w1", "v1"))
				got := b.takeUp(t.Context(), "r0")
				if (got.Status == 200) != test.wantOK || got.Took != test.wantTook {
					t.Errorf("%+v", got)
				}
			})
		})
	}
}

// TestTakenUpStreamKeepsItsVersionWhereTableIsOld guards against a gateway whose table does not say yet that a route's streams may be
// resumed, and that lets them go on at any version.
func TestTakenUpStreamKeepsItsVersionWhereTableIsOld(t *testing.T) {
	tests := map[string]struct {
		reply *wirepb.OriginReply
		want  string
	}{
		"begun elsewhere": {&wirepb.OriginReply{Known: true, Service: "engines", Software: "v2"}, "v2"},
		"unknown":         {&wirepb.OriginReply{Versions: []string{"v1", "v2"}, Proven: true}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestGateway(t, func(context.Context, Call) (*Response, error) { return streamResponse(3, io.EOF), nil },
					softwareEndpoint("w1", "v1"), softwareEndpoint("w2", "v1"), softwareEndpoint("w3", "v2"))
				b.SetStewards([]string{"steward"})
				b.askOrigin = func(context.Context, string, *wirepb.OriginQuery) (*wirepb.OriginReply, error) {
					return test.reply, nil
				}
				for n := range 20 {
					id := "again" + strconv.Itoa(n)
					got := b.do(t.Context(), "/draft/a", testModel, Request{ID: id, Resumes: "r0", LastEvent: "1", ClientTimeout: 8 * time.Second})
					if ran := b.endpointOf(id); (test.want == "") != got.Refused || ran != "" && softwareOf(ran) != test.want {
						t.Errorf("ran at %q, %+v", ran, got)
					}
				}
			})
		})
	}
}

// TestStreamBegunAtNewVersionWaitsForItsEndpoint guards against a stream that is refused because the steward's answer names a version which
// the gateway's view does not show yet.
func TestStreamBegunAtNewVersionWaitsForItsEndpoint(t *testing.T) {
	tests := map[string]struct {
		// seen is set if the gateway has seen the version, shownAfter is when its view shows an endpoint of it.
		seen       bool
		shownAfter time.Duration
		wantTook   time.Duration
		wantOK     bool
	}{
		"view is late":       {false, 100 * time.Millisecond, 100 * time.Millisecond, true},
		"view does not come": {false, time.Hour, maxViewDelay, false},
		"endpoints are gone": {true, time.Hour, 0, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				old, added := softwareEndpoint("w1", "v1"), softwareEndpoint("w3", "v2")
				b := newTestGateway(t, func(context.Context, Call) (*Response, error) { return streamResponse(3, io.EOF), nil })
				if test.seen {
					b.setEndpoints(old, added)
				}
				b.setEndpoints(old)
				b.SetStewards([]string{"steward"})
				b.askOrigin = func(context.Context, string, *wirepb.OriginQuery) (*wirepb.OriginReply, error) {
					return &wirepb.OriginReply{Known: true, Service: "engines", Software: "v2"}, nil
				}
				shown := time.AfterFunc(test.shownAfter, func() { b.setEndpoints(old, added) })
				defer shown.Stop()
				got := b.takeUp(t.Context(), "r0")
				// The wait ends with a look at the endpoints, at most retryInterval late.
				if (got.Status == 200) != test.wantOK || got.Took < test.wantTook || got.Took >= test.wantTook+retryInterval || test.wantOK && b.calls[0].Endpoint != "w3" {
					t.Errorf("%+v", got)
				}
			})
		})
	}
}
