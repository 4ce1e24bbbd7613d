package gateway

import (
	"context"
	"io"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"burdocksaddle/endpoint"
	"burdocksaddle/stream"
	"burdocksaddle/wirepb"
)

// outOfStep is how a gateway loses touch with the others.
type outOfStep int

const (
	inStep outOfStep = iota
	// frozen is a stopped process: what arrives waits for it, and the clock goes on.
	frozen
	// suspended is a suspended VM: the clock stops, too.
	suspended
	cutOff
	cutOffFromLeader
	// cutOffExceptLagging leaves the link to a steward whose log does not go on.
	cutOffExceptLagging
)

func (o outOfStep) String() string {
	return [...]string{"in step", "frozen", "suspended", "cut off", "cut off from the leader", "cut off except from a lagging steward"}[o]
}

// release plays the release of a software version while one gateway is out of step. Times count from the start of the play.
type release struct {
	*testGateway
	// peer is a gateway in step.
	peer  *testGateway
	began time.Time
	mode  outOfStep
	// from and to are when the gateway is out of step.
	from, to time.Duration
	// joins is when the platform's list shows the new version, commits when the stewards' log names it and the leader publishes it.
	joins, commits time.Duration
	// told is set if the other gateways' reports of starts reach the stewards.
	told bool

	mu     sync.Mutex
	starts map[uint64]reportedStart
}

// reportedStart is where a stream began, and when the stewards were told.
type reportedStart struct {
	stream.Origin
	told time.Duration
}

const (
	joinsAt     = 3 * time.Second
	commitsAt   = joinsAt + 400*time.Millisecond
	takeUpEvery = 50 * time.Millisecond
)

// now returns the time in the play, which goes on while the clock of a suspended gateway stops.
func (r *release) now() time.Duration {
	now := time.Since(r.began)
	if r.mode == suspended && now >= r.from {
		return now + r.to - r.from
	}
	return now
}

func (r *release) out() bool { return r.from <= r.now() && r.now() < r.to }

// stopped reports whether the gateway's process is stopped.
func (r *release) stopped() bool { return r.mode == frozen && r.out() }

// awaitThaw returns once the gateway's process runs.
func (r *release) awaitThaw() {
	if r.stopped() {
		time.Sleep(r.to - r.now())
	}
}

// endpoints returns the endpoints at a time, of the new version only if it is known by then.
func (r *release) endpoints(known bool) []endpoint.State {
	states := []endpoint.State{softwareEndpoint("w1", "v1"), softwareEndpoint("w2", "v1")}
	if known {
		states = append(states, softwareEndpoint("w3", "v2"), softwareEndpoint("w4", "v2"))
	}
	return states
}

func (r *release) list(context.Context) ([]endpoint.State, int, error) {
	listed := r.endpoints(r.now() >= r.joins)
	r.awaitThaw()
	return listed, 0, nil
}

// reaches reports whether the gateway's link to a steward carries anything.
func (r *release) reaches(steward string) bool {
	switch {
	case !r.out() || r.mode == inStep || r.mode == frozen || r.mode == suspended:
		return true
	case r.mode == cutOffFromLeader:
		return steward != "leader"
	default:
		return r.mode == cutOffExceptLagging && steward == "lagging"
	}
}

// askOut is the question of the gateway that is out of step, ask that of one in step.
func (r *release) askOut(ctx context.Context, steward string, query *wirepb.OriginQuery) (*wirepb.OriginReply, error) {
	if !r.reaches(steward) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	defer r.awaitThaw()
	return r.ask(ctx, steward, query)
}

func (r *release) ask(_ context.Context, steward string, query *wirepb.OriginQuery) (*wirepb.OriginReply, error) {
	time.Sleep(2 * time.Millisecond)
	reply := &wirepb.OriginReply{Versions: []string{"v1"}}
	if steward != "lagging" {
		reply.Proven = true
		if r.now() >= r.commits {
			reply.Versions = append(reply.Versions, "v2")
		}
		r.mu.Lock()
		start, known := r.starts[query.GetStream()]
		r.mu.Unlock()
		if known && r.now() >= start.told {
			reply.Known, reply.Proven, reply.Service, reply.Software = true, false, start.Service, start.Software
		}
	}
	return reply, nil
}

// tell records the starts that the gateway reports.
func (r *release) tell(steward string, message *wirepb.StreamStarts) (<-chan struct{}, bool) {
	if r.reaches(steward) && steward != "lagging" {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, group := range message.GetGroups() {
			for _, id := range group.GetStreams() {
				r.starts[id] = reportedStart{stream.Origin{Service: group.GetService(), Software: group.GetSoftware()}, r.now()}
			}
		}
	}
	return closedChannel(), true
}

// snapshot is what the leader publishes.
func (r *release) snapshot() *wirepb.Snapshot {
	snapshot := &wirepb.Snapshot{Leads: true, Proven: true, HasEndpoints: true, Complete: true, Gateways: 2, Software: r.software()}
	for _, state := range r.endpoints(r.now() >= r.commits) {
		snapshot.Endpoints = append(snapshot.Endpoints, state.ToWire())
	}
	return snapshot
}

// software is what stewards tell of the committed versions.
func (r *release) software() *wirepb.SoftwareTable {
	if r.now() < r.commits {
		return nil
	}
	return committedSnapshot("v1", "v2").GetSoftware()
}

// publish sends the leader's snapshots to both gateways, and a follower's without endpoints to the one that is out of step.
func (r *release) publish(ctx context.Context) {
	const interval, thawDelay = 100 * time.Millisecond, 20 * time.Millisecond
	var waiting []*wirepb.Snapshot
	for ; ctx.Err() == nil; time.Sleep(interval) {
		r.peer.applySnapshot("leader", r.snapshot())
		if r.reaches("follower") && !r.stopped() {
			r.applySnapshot("follower", &wirepb.Snapshot{Proven: true, Gateways: 2, Software: r.software()})
		}
		if !r.reaches("leader") {
			continue
		}
		if waiting = append(waiting, r.snapshot()); r.stopped() {
			continue
		}
		if len(waiting) > 1 {
			time.Sleep(thawDelay) // requests that waited, too, may come first
		}
		for _, s := range waiting {
			r.applySnapshot("leader", s)
		}
		waiting = nil
	}
}

// softwareOf returns the version of an endpoint.
func softwareOf(id string) string {
	if id == "w1" || id == "w2" {
		return "v1"
	}
	return "v2"
}

// play starts the gateway and calls a function every takeUpEvery, until 1 s after the gateway is back and the version is committed, with the
// stream's number in its own goroutine.
func (r *release) play(t *testing.T, each func(n int)) {
	r.began, r.starts = time.Now(), map[uint64]reportedStart{}
	r.testGateway = newTestGateway(t, func(context.Context, Call) (*Response, error) {
		r.awaitThaw()
		return streamResponse(3, io.EOF), nil
	}, r.endpoints(false)...)
	r.askOrigin, r.listEndpoints, r.tellStarts = r.askOut, r.list, r.tell
	r.peer = newTestGateway(t, func(context.Context, Call) (*Response, error) { return streamResponse(3, io.EOF), nil }, r.endpoints(false)...)
	r.peer.askOrigin = r.ask
	r.peer.tellStarts = func(string, *wirepb.StreamStarts) (<-chan struct{}, bool) { return closedChannel(), true }
	stewards := []string{"leader", "follower", "lagging"}
	r.SetStewards(stewards)
	r.peer.SetStewards(stewards)
	ctx, cancel := context.WithCancel(t.Context())
	var tasks, clients sync.WaitGroup
	tasks.Go(func() { r.runPeriodic(ctx) })
	tasks.Go(func() { r.publish(ctx) })
	for n := range int((max(r.to, r.commits) + time.Second) / takeUpEvery) {
		clients.Go(func() {
			at := time.Duration(n) * takeUpEvery
			if r.mode == suspended && at >= r.from {
				at = max(at-(r.to-r.from), r.from)
			}
			time.Sleep(at)
			each(n)
		})
	}
	clients.Wait()
	cancel()
	tasks.Wait()
}

// beginElsewhere returns the request that began a stream through another gateway at a moment of the play, and where.
func (r *release) beginElsewhere(n int) (id string, origin stream.Origin) {
	at := time.Duration(n) * takeUpEvery
	id, origin = "r"+strconv.Itoa(n), stream.Origin{Service: "engines", Software: "v1"}
	if at >= r.commits && n%2 == 0 {
		origin.Software = "v2"
	}
	if r.told {
		const interval = 100 * time.Millisecond // at which earlier starts are reported once several versions are known
		r.mu.Lock()
		defer r.mu.Unlock()
		r.starts[xxhash.Sum64String(id)] = reportedStart{origin, max(at, r.commits+interval)}
		if at >= r.commits {
			r.starts[xxhash.Sum64String(id)] = reportedStart{origin, at}
		}
	}
	return id, origin
}

// endpointOf returns the endpoint that ran a request, "" if none did.
func (b *testGateway) endpointOf(id string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, call := range b.calls {
		if call.Request.ID == id {
			return call.Endpoint
		}
	}
	return ""
}

// tally counts streams that clients took up.
type tally struct {
	mu                     sync.Mutex
	wentOn, refused, wrong int
}

// takeUp takes up a stream at a gateway. If it must go on, it may not be refused.
func (c *tally) takeUp(t *testing.T, r *release, b *testGateway, id string, origin stream.Origin, must bool) {
	again := id + "-again"
	got := b.do(t.Context(), "/live/a", testModel, Request{ID: again, Resumes: id, LastEvent: "1", ClientTimeout: 8 * time.Second})
	at := b.endpointOf(again)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case at == "" && got.Refused && !must:
		c.refused++
	case got.Status == 200 && softwareOf(at) == origin.Software:
		c.wentOn++
	case got.Status == 200:
		c.wrong++
		t.Errorf("%v from %v to %v, starts told %t: stream %s began at %s and went on at %s", r.mode, r.from, r.to, r.told, id, origin.Software, at)
	default:
		t.Errorf("%v from %v to %v, starts told %t: stream %s, begun at %s: %+v", r.mode, r.from, r.to, r.told, id, origin.Software, got)
	}
}

// playAll plays a release with a gateway out of step at various times and logs how many streams went on.
func playAll(t *testing.T, told bool, each func(t *testing.T, r *release, c *tally, n int)) {
	for mode := inStep; mode <= cutOffExceptLagging; mode++ {
		var c tally
		for from := joinsAt - 3*time.Second; from <= commitsAt+200*time.Millisecond; from += 900 * time.Millisecond {
			if mode == inStep && from > 0 {
				break
			}
			for _, length := range []time.Duration{time.Second, 4 * time.Second} {
				synctest.Test(t, func(t *testing.T) {
					r := &release{mode: mode, from: from, to: from + length, joins: joinsAt, commits: commitsAt, told: told}
					r.play(t, func(n int) { each(t, r, &c, n) })
				})
			}
		}
		t.Logf("%v, starts told %t: %d went on, %d refused, %d at another version", mode, told, c.wentOn, c.refused, c.wrong)
	}
}

// TestStreamBegunDuringReleaseKeepsItsVersionAtGatewayOutOfStep guards against a gateway that is out of step while a version joins, and lets
// a stream that began there through another gateway go on at the former version.
func TestStreamBegunDuringReleaseKeepsItsVersionAtGatewayOutOfStep(t *testing.T) {
	// spread is how long it takes until a gateway in touch knows what the leader publishes.
	const spread = 300 * time.Millisecond
	for _, told := range []bool{true, false} {
		playAll(t, told, func(t *testing.T, r *release, c *tally, n int) {
			at := time.Duration(n) * takeUpEvery
			id, origin := r.beginElsewhere(n)
			r.awaitThaw()
			inTouch := r.mode == inStep || at < r.from-originProofTimeout || at >= r.to+spread
			c.takeUp(t, r, r.testGateway, id, origin, inTouch && (told && at >= commitsAt+spread || at < joinsAt))
		})
	}
}

// TestStreamBegunAtGatewayOutOfStepKeepsItsVersion guards against the same in the other direction: a gateway out of step begins a stream at
// the new version, and one in step takes the former version for the only one.
func TestStreamBegunAtGatewayOutOfStepKeepsItsVersion(t *testing.T) {
	playAll(t, true, func(t *testing.T, r *release, c *tally, n int) {
		id := "r" + strconv.Itoa(n)
		r.awaitThaw()
		if got := r.do(t.Context(), "/live/a", testModel, Request{ID: id, ClientTimeout: 8 * time.Second}); got.Status != 200 {
			t.Errorf("%v from %v to %v: stream %s: %+v", r.mode, r.from, r.to, id, got)
			return
		}
		origin := stream.Origin{Service: "engines", Software: softwareOf(r.endpointOf(id))}
		c.takeUp(t, r, r.peer, id, origin, r.mode == inStep && r.now() < joinsAt)
	})
}
