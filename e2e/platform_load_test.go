package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"burdocksaddle/platform/standin"
)

const (
	// callersPerGateway is the number of callers per gateway, platformRequestInterval the pause of a caller between two requests.
	callersPerGateway       = 4
	platformRequestInterval = 60 * time.Millisecond
	// changeInterval is how often the operator sends a new configuration, readInterval how often it reads the current one.
	changeInterval = 1500 * time.Millisecond
	// A configuration with routesPerLargeChange routes more is followed by the next one after largeChangeInterval. There are up to
	// maxMoreRoutes of these routes.
	routesPerLargeChange = 1400
	largeChangeInterval  = 300 * time.Millisecond
	maxMoreRoutes        = 3 * routesPerLargeChange
	// probeInterval is how often each gateway is asked for a route that must be in force.
	probeInterval = 200 * time.Millisecond
	readInterval  = 200 * time.Millisecond
	// finalReadTimeout is how long a steward may be unable to confirm that its configuration is the newest, and a change may take at the end.
	finalReadTimeout = 4 * time.Second
)

// platformLoad is the load on a platformCluster: callers that send requests and an operator that changes the configuration.
type platformLoad struct {
	cluster *platformCluster
	// cancel stops new requests; requests in flight run to completion.
	cancel  context.CancelFunc
	ctx     context.Context
	workers sync.WaitGroup

	mu          sync.Mutex
	outcomes    []standin.Outcome
	changes     []sentChange
	configReads []configRead
	version     int
	moreRoutes  int
	probes      []routeProbe
	keyProbes   []keyProbe
	// finalReads holds one read from each steward after the load has ended.
	finalReads []configRead
	// finalChange was sent after the final reads.
	finalChange sentChange
}

func startPlatformLoad(c *platformCluster, seed uint64) *platformLoad {
	l := &platformLoad{cluster: c}
	l.ctx, l.cancel = context.WithCancel(c.ctx)
	for g := range c.shape.gateways {
		address := c.vms["gateway-"+strconv.Itoa(g)].client
		for n := range callersPerGateway {
			r := rand.New(rand.NewPCG(seed, uint64(1000+g*callersPerGateway+n)))
			repeats := rand.New(rand.NewPCG(seed, uint64(2000+g*callersPerGateway+n)))
			caller := loadCaller{Caller: standin.NewCaller(address, n%2 == 1), name: fmt.Sprintf("g%dc%d", g, n), team: callerTeams[(g+n)%len(callerTeams)], anonymous: n == 0}
			l.workers.Go(func() { l.runCaller(caller, r, repeats) })
		}
	}
	l.startKeptCallers(seed)
	for g := range c.shape.gateways {
		l.workers.Go(func() { l.runProbes("gateway-" + strconv.Itoa(g)) })
		l.workers.Go(func() { l.runKeyProbes("gateway-" + strconv.Itoa(g)) })
	}
	l.workers.Go(func() { l.runOperator(rand.New(rand.NewPCG(seed, 7)), rand.New(rand.NewPCG(seed, 8))) })
	return l
}

// stop stops the load and waits for the requests in flight.
func (l *platformLoad) stop() {
	l.cancel()
	l.workers.Wait()
}

// Every deadlyShare-th request to an engine has the deadly part while the cluster's callers send it, and every deadlyShare-th request is the
// repeated one while they send that. Prompts share one of
// sharedParts other parts.
const (
	deadlyShare = 8
	sharedParts = 4
)

// repeatedRequest returns the request that crashes plain endpoints.
func repeatedRequest(id string) standin.Request {
	return standin.Request{ID: id, Host: "one.example", Path: deadlyRequest.Path, Caller: deadlyRequest.Caller, Key: callerTeams[0].Keys[0], Body: []byte(deadlyRequest.Body), Timeout: 1500 * time.Millisecond}
}

// randomRequest returns a random request; deadly allows the deadly part in its prompt.
func randomRequest(r *rand.Rand, id string, deadly bool) standin.Request {
	request := standin.Request{ID: id, Host: "one.example", Body: []byte("body of " + id), Timeout: 1500 * time.Millisecond}
	switch n := r.IntN(10); {
	case n < 2:
		request.Path = "/book/x"
	case n < 4:
		request.Path = "/read/x"
	default:
		request.Path, request.Timeout, request.Tokens = pick(r, []string{livePath + "x", livePath + "x", "/once/x"}), 6*time.Second, "200,48"
		request.Model = modelName(min(r.IntN(platformModels), r.IntN(platformModels)))
		if r.IntN(3) == 0 {
			request.Model += "/a" + strconv.Itoa(1+r.IntN(6))
		}
		request.Parts = fmt.Sprintf("%x:50,", 1+r.IntN(sharedParts))
		if r.IntN(deadlyShare) == 0 && deadly {
			request.Parts += deadlyPart + ":50,"
		}
		request.Parts += "own" + id + ":100"
	}
	return request
}

// runCaller sends requests one after the other. A request that was refused as not run is sent once more, under a new ID, after
// its Retry-After time, unless that is more than a third of the timeout. repeats draws which requests are the repeated one.
func (l *platformLoad) runCaller(caller loadCaller, r, repeats *rand.Rand) {
	defer caller.Close()
	for n := 0; sleepContext(l.ctx, platformRequestInterval); n++ {
		request := caller.identify(randomRequest(r, caller.name+"-"+strconv.Itoa(n), l.cluster.deadly.Load()))
		if l.cluster.repeating.Load() && repeats.IntN(deadlyShare) == 0 {
			request = repeatedRequest(request.ID)
		} else if request.Path == livePath+"x" && repeats.IntN(leavingShare) == 0 {
			request.LeaveAfter = 1 + repeats.IntN(streamEvents-1)
		}
		o := l.record(caller.Do(l.cluster.ctx, request))
		if last := lastEvent(o); last > 0 && !o.Complete && strings.HasPrefix(o.Path, livePath) {
			l.takeUp(o, last, repeats)
		}
		if o.NotRun && o.RetryAfter <= request.Timeout/3 && sleepContext(l.ctx, o.RetryAfter) {
			request.ID += "-again"
			l.record(caller.Do(l.cluster.ctx, request))
		}
	}
}

// livePath is the prefix of the streams that callers may take up. Of leavingShare of them, one is left by its caller and taken up at once.
const (
	livePath     = "/live/"
	leavingShare = 6
)

// lastEvent returns how many complete events a stream had.
func lastEvent(o standin.Outcome) int {
	if o.Status != http.StatusOK || o.Model == "" {
		return 0
	}
	return strings.Count(o.Body, "\n\n")
}

// takeUp takes a stream that broke off after some events up at a random gateway.
func (l *platformLoad) takeUp(broken standin.Outcome, after int, r *rand.Rand) {
	request := broken.Request
	request.ID, request.Resumes, request.LastEvent, request.LeaveAfter = request.ID+"-resumed", request.ID, after, 0
	gateway := "gateway-" + strconv.Itoa(r.IntN(l.cluster.shape.gateways))
	caller := standin.NewCaller(l.cluster.vms[gateway].client, true)
	defer caller.Close()
	l.record(caller.Do(l.cluster.ctx, request))
}

func (l *platformLoad) record(o standin.Outcome) standin.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
	return o
}

// runProbes asks a gateway for the route of the newest configuration that must be in force there.
func (l *platformLoad) runProbes(gateway string) {
	caller := standin.NewCaller(l.cluster.vms[gateway].client, false)
	defer caller.Close()
	for n := 0; sleepContext(l.ctx, probeInterval); n++ {
		version := l.versionAckedBefore(time.Now().Add(-maxApplyDelay))
		if version == 0 {
			continue
		}
		request := standin.Request{ID: fmt.Sprintf("probe-%s-%d", gateway, n), Host: "one.example", Path: versionPath(version) + "x", Key: callerTeams[0].Keys[0], Timeout: 1500 * time.Millisecond}
		outcome := l.record(caller.Do(l.cluster.ctx, request))
		l.mu.Lock()
		l.probes = append(l.probes, routeProbe{l.cluster.vms[gateway].bindAddress, version, outcome})
		l.mu.Unlock()
	}
}

// versionAckedBefore returns the newest version that was acknowledged before the given time.
func (l *platformLoad) versionAckedBefore(at time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := 0
	for _, c := range l.changes {
		if !c.acked.IsZero() && c.acked.Before(at) {
			newest = max(newest, c.version)
		}
	}
	return newest
}

// runOperator sends a new configuration every changeInterval and reads the current one every readInterval. sizes draws which
// configurations are large.
func (l *platformLoad) runOperator(r, sizes *rand.Rand) {
	operator, nextChange := standin.NewOperator(), time.Now()
	for sleepContext(l.ctx, readInterval) {
		if time.Now().After(nextChange) {
			interval := changeInterval
			if l.moreRoutes < maxMoreRoutes && l.version > 0 && sizes.IntN(3) == 0 {
				l.moreRoutes += routesPerLargeChange
				interval = largeChangeInterval
			}
			nextChange = time.Now().Add(interval)
			l.applyConfig(operator, r)
		}
		l.readConfig(operator, pick(r, l.cluster.operatorAddresses()))
	}
}

func (l *platformLoad) applyConfig(operator *standin.Operator, r *rand.Rand) {
	l.version += 1 + r.IntN(3)
	change := sentChange{version: l.version, sent: time.Now()}
	seeds, table := l.cluster.operatorAddresses(), l.cluster.routingTable(l.version, l.moreRoutes, teamsOf(l.version))
	for range 3 * len(seeds) {
		address := pick(r, seeds)
		if status := operator.Replace(l.ctx, address, table); status == http.StatusOK {
			change.acked = time.Now()
			break
		}
		if !sleepContext(l.ctx, 50*time.Millisecond) {
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, change)
}

func (l *platformLoad) readConfig(operator *standin.Operator, address string) {
	startedAt := time.Now()
	status, body := operator.Describe(l.cluster.ctx, address)
	var table struct{ Version int }
	if status != http.StatusOK || json.Unmarshal(body, &table) != nil {
		return // a steward that cannot confirm its version answers with an error
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.configReads = append(l.configReads, configRead{startedAt, address, table.Version})
}

// readFinalConfigs reads the configuration from each steward, retrying for up to finalReadTimeout.
func (l *platformLoad) readFinalConfigs() {
	operator := standin.NewOperator()
	for _, address := range l.cluster.operatorAddresses() {
		before := len(l.configReads)
		for deadline := time.Now().Add(finalReadTimeout); len(l.configReads) == before && time.Now().Before(deadline); sleepContext(l.cluster.ctx, readInterval/4) {
			l.readConfig(operator, address)
		}
		if len(l.configReads) > before {
			l.finalReads = append(l.finalReads, l.configReads[len(l.configReads)-1])
		}
	}
}

// sendFinalConfig sends a configuration to one steward after the other until it is acknowledged, for up to finalReadTimeout.
func (l *platformLoad) sendFinalConfig() {
	operator, addresses := standin.NewOperator(), l.cluster.operatorAddresses()
	l.version++
	l.finalChange = sentChange{version: l.version, sent: time.Now()}
	table := l.cluster.routingTable(l.version, l.moreRoutes, teamsOf(l.version))
	for n := 0; l.finalChange.acked.IsZero() && time.Since(l.finalChange.sent) < finalReadTimeout; n++ {
		if operator.Replace(l.cluster.ctx, addresses[n%len(addresses)], table) == http.StatusOK {
			l.finalChange.acked = time.Now()
		}
		sleepContext(l.cluster.ctx, readInterval/4)
	}
}

// servedSince returns the number of complete successful answers to requests sent after the given time.
func (l *platformLoad) servedSince(since time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, o := range l.outcomes {
		if o.Status == http.StatusOK && o.Complete && o.Sent.After(since) {
			n++
		}
	}
	return n
}

// observations returns what was observed; call it only after stop.
func (l *platformLoad) observations(recoveredBy time.Time) observations {
	l.cluster.mu.Lock()
	resumedAt := l.cluster.resumedAt
	l.cluster.mu.Unlock()
	var gateways, stewards []string
	senders := map[string]string{}
	for _, name := range l.cluster.names {
		if v := l.cluster.vms[name]; v.role == "gateway" {
			gateways = append(gateways, v.bindAddress)
			senders[v.client] = v.bindAddress
		} else {
			stewards = append(stewards, v.bindAddress)
		}
	}
	return observations{stewards: stewards, gateways: gateways, senders: senders, probes: l.probes, keyProbes: l.keyProbes, disturbances: l.cluster.disturbances, stops: l.cluster.stops, grace: l.cluster.shape.grace, outcomes: l.outcomes, endpoints: l.cluster.endpoints(), changes: l.changes, configReads: l.configReads, finalReads: l.finalReads, finalChange: l.finalChange, resumedAt: resumedAt, recoveredBy: recoveredBy}
}
