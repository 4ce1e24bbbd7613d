package e2e

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"burdocksaddle/platform/standin"
)

const (
	// signalInterval is the time between the signals that a stopping process gets.
	signalInterval = 200 * time.Millisecond
	// readyInterval is how often the platform asks each gateway whether it is ready, maxMisses how many answers other than 200 end its rotation.
	readyInterval = time.Second
	maxMisses     = 2
	// Every sixth kept caller pauses for up to shortPause between its requests, the others for up to longPause; the requests of the latter
	// arrive in two parts, headDelay apart.
	shortPause = 200 * time.Millisecond
	longPause  = 4 * time.Second
	headDelay  = 150 * time.Millisecond
	// busyProcesses is how many processes occupy a core each on a busy machine.
	busyProcesses = 4
)

// plannedStops are the kinds of faults in which a process is only asked to stop.
var plannedStops = []string{"term", "term and signals", "term twice"}

func gatewayName(n int) string { return "gateway-" + strconv.Itoa(n) }

// stopsInTurn returns planned stops of one gateway after the other, each of which is back in rotation before the next one leaves it.
func stopsInTurn() []fault {
	var faults []fault
	for n := range 3 * stopsShape.gateways {
		faults = append(faults, fault{at: time.Duration(n) * 2800 * time.Millisecond, kind: "term", vm: gatewayName(n % stopsShape.gateways), duration: 100 * time.Millisecond})
	}
	return faults
}

// stopsBesideLoad returns planned stops on a busy machine: of gateways that get more signals or have just started, and of all gateways one after
// the other faster than they stop.
func stopsBesideLoad() []fault {
	second := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	return []fault{
		{at: 0, kind: "busy machine", duration: second(22)},
		{at: second(1), kind: "term and signals", vm: gatewayName(0), duration: second(0.1)},
		{at: second(4), kind: "term twice", vm: gatewayName(1), duration: second(0.1)},
		{at: second(12), kind: "term", vm: gatewayName(0), duration: second(0.1)},
		{at: second(12.5), kind: "term and signals", vm: gatewayName(1), duration: second(0.1)},
		{at: second(13), kind: "term", vm: gatewayName(2), duration: second(0.1)},
		{at: second(19), kind: "term", vm: gatewayName(2), duration: second(0.1)},
	}
}

// randomStops draws a series of planned stops of gateways that overlap.
func randomStops(r *rand.Rand, shape clusterShape) []fault {
	var faults []fault
	at := time.Duration(r.Int64N(int64(injectionWindow / 2)))
	for _, n := range r.Perm(shape.gateways)[:shape.gateways/2+1] {
		faults = append(faults, fault{at: at, kind: pick(r, plannedStops), vm: gatewayName(n), duration: time.Duration(r.Int64N(int64(maxDowntime / 2)))})
		at += time.Duration(r.Int64N(int64(stopGrace)))
	}
	return faults
}

// occupyMachine keeps cores busy for a time.
func (c *platformCluster) occupyMachine(duration time.Duration) {
	for n := range busyProcesses {
		busy := startProcess(c.t, "sh", c.dir, "busy-"+strconv.Itoa(n), "-c", "while :; do :; done")
		defer busy.kill()
	}
	sleepContext(c.ctx, duration)
}

// rotation chooses the gateways of new connections as the platform does: those that report that they are ready or, if they are fewer than
// half, all.
type rotation struct {
	gateways []*vm

	mu sync.Mutex
	// misses is how many answers in a row were not 200, by gateway.
	misses map[string]int
}

// run asks a gateway whether it is ready until the context ends.
func (r *rotation) run(ctx context.Context, gateway *vm) {
	client := http.Client{Timeout: readyInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for sleepContext(ctx, readyInterval) {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+gateway.ready+"/api/readyz", nil)
		if err != nil {
			return
		}
		response, err := client.Do(request)
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close() // only the status counts
		}
		r.mu.Lock()
		if r.misses[gateway.name]++; ready {
			r.misses[gateway.name] = 0
		}
		r.mu.Unlock()
	}
}

// choose returns the address of a gateway for a new connection.
func (r *rotation) choose() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ready []string
	for _, g := range r.gateways {
		if r.misses[g.name] < maxMisses {
			ready = append(ready, g.client)
		}
	}
	if 2*len(ready) < len(r.gateways) {
		ready = nil
		for _, g := range r.gateways {
			ready = append(ready, g.client)
		}
	}
	return ready[rand.IntN(len(ready))]
}

// startKeptCallers starts the callers that keep their connections and choose gateways by rotation.
func (l *platformLoad) startKeptCallers(seed uint64) {
	if l.cluster.shape.keptCallers == 0 {
		return
	}
	choice := &rotation{misses: map[string]int{}}
	for n := range l.cluster.shape.gateways {
		gateway := l.cluster.vms[gatewayName(n)]
		choice.gateways = append(choice.gateways, gateway)
		l.workers.Go(func() { choice.run(l.ctx, gateway) })
	}
	for n := range l.cluster.shape.keptCallers {
		r := rand.New(rand.NewPCG(seed, uint64(3000+n)))
		caller := loadCaller{Caller: standin.NewCaller("ingress.example", false), name: "kept" + strconv.Itoa(n), team: callerTeams[n%len(callerTeams)]}
		caller.Route = choice.choose
		pause := shortPause
		if n%6 > 0 {
			pause, caller.HeadDelay = longPause, headDelay
		}
		l.workers.Go(func() { l.runKeptCaller(caller, r, pause) })
	}
}

// runKeptCaller sends one request after the other, each of them once.
func (l *platformLoad) runKeptCaller(caller loadCaller, r *rand.Rand, pause time.Duration) {
	defer caller.Close()
	for n := 0; sleepContext(l.ctx, time.Duration(r.Int64N(int64(pause)))); n++ {
		l.record(caller.Do(l.cluster.ctx, caller.identify(randomRequest(r, fmt.Sprintf("%s-%d", caller.name, n), false))))
	}
}
