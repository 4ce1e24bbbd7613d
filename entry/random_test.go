package entry_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"burdocksaddle/standin"
)

var (
	seeds     = flag.Int("seeds", 1, "number of random runs; the seeds start at -first-seed")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first random run")
	length    = flag.Duration("length", 4*time.Second, "duration of each random run")
)

// TestRandomFaults sends requests while connections, services, engines and agents fail at random. It checks the run
// states that callers received against the run counts of the simulated endpoints.
func TestRandomFaults(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { testRandomFaults(t, seed) })
	}
}

// results holds the last result for each key and the number of results by kind.
type results struct {
	mu     sync.Mutex
	last   map[string]result
	counts map[string]int
}

func (r *results) add(kind string, got result, key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[kind+" "+got.outcomeName()]++
	if key != "" {
		r.last[key] = got
	}
}

func testRandomFaults(t *testing.T, seed uint64) {
	c := newCluster(t, clusterConfig{entries: 2, services: 2, engines: 2, callTime: 20 * time.Millisecond, engineOptions: []standin.EngineOption{standin.TokenTime(2 * time.Millisecond)}})
	r := &results{last: map[string]result{}, counts: map[string]int{}}
	ctx, cancel := context.WithTimeout(t.Context(), *length)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { injectFaults(ctx, c, rand.New(rand.NewPCG(seed, 0))) })
	for caller := range 12 {
		random := rand.New(rand.NewPCG(seed, uint64(caller+1)))
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				sendRandomRequest(t, c, r, random, fmt.Sprintf("key-%d-%d", caller, n))
			}
		})
	}
	group.Wait()
	checkResults(t, c, r)
	t.Logf("seed %d: %v", seed, r.counts)
}

// sendRandomRequest sends a request of a random kind. It retries bookings until their outcome is known or the caller gives
// up.
func sendRandomRequest(t *testing.T, c *cluster, r *results, random *rand.Rand, key string) {
	deadline := 200*time.Millisecond + time.Duration(random.IntN(3000))*time.Millisecond
	switch random.IntN(3) {
	case 0:
		r.add("look-up", c.lookUpStock(t.Context(), random.IntN(2), deadline), "")
	case 1:
		got := c.chat(t.Context(), random.IntN(2), strings.TrimSpace(strings.Repeat("word ", 40)), random.IntN(2) == 0, deadline)
		r.add("chat", got, "")
		if words := strings.Count(got.body, "word"); got.err == nil && got.status == 200 && words != 40 {
			t.Errorf("got %d words, want 40: %s", words, got.body)
		}
	case 2:
		for range 1 + random.IntN(4) {
			ctx, cancel := context.WithCancel(t.Context())
			if random.IntN(4) == 0 {
				// The caller disconnects during the request.
				time.AfterFunc(time.Duration(random.IntN(60))*time.Millisecond, cancel)
			}
			got := c.book(ctx, random.IntN(2), key, deadline)
			cancel()
			r.add("booking", got, key)
			if got.outcomeName() == "Answered" || got.outcomeName() == "Ran" || got.outcomeName() == "NotRun" && random.IntN(2) == 0 {
				return
			}
		}
	}
}

// checkResults compares the last result for each key with the number of runs, and checks the entries' request counts.
func checkResults(t *testing.T, c *cluster, r *results) {
	for key, last := range r.last {
		runs := c.runCount(key)
		switch {
		case runs > 1:
			t.Errorf("%s ran %d times", key, runs)
		case last.outcomeName() == "NotRun" && runs != 0:
			t.Errorf("%s was reported as NotRun but ran: %v", key, last.err)
		case (last.outcomeName() == "Ran" || last.outcomeName() == "Answered" && last.status == 200) && runs != 1:
			t.Errorf("%s was reported as %s but ran %d times", key, last.outcomeName(), runs)
		case last.outcomeName() == "Answered" && last.status == 200 && !strings.Contains(last.body, key):
			t.Errorf("%s got the response of another key: %s", key, last.body)
		}
	}
	for i, e := range c.entries {
		if d := e.Dump(); d.Open != 0 || d.Admitted != d.Answered+d.Refused {
			t.Errorf("entry %d: %d open, admitted %d, answered %d, refused %d", i, d.Open, d.Admitted, d.Answered, d.Refused)
		}
	}
}

// injectFaults injects random faults, one after another, until the context ends.
func injectFaults(ctx context.Context, c *cluster, random *rand.Rand) {
	faults := []standin.Fault{{LoseAnswer: true}, {ResetAfter: 1 + random.IntN(5)}, {Refuse: true}, {StallOpen: true}, {Slow: 5}}
	for ctx.Err() == nil {
		address := c.agents[random.IntN(len(c.agents))].settings.Listen
		if random.IntN(4) == 0 {
			address = c.control
		}
		faultDuration := time.Duration(50+random.IntN(250)) * time.Millisecond
		switch random.IntN(8) {
		case 0:
			c.network.reset(address)
		case 1:
			c.network.dropTraffic(address)
		case 2:
			c.network.dropInbound(address)
		case 3:
			c.network.dropOutbound(address)
		case 4:
			c.network.setRefused(address, true)
			c.network.reset(address)
			sleep(ctx, faultDuration)
			c.network.setRefused(address, false)
		case 5:
			service := c.services[random.IntN(len(c.services))]
			service.SetFault(faults[random.IntN(len(faults))])
			sleep(ctx, faultDuration)
			service.SetFault(standin.Fault{})
		case 6:
			engine := c.engines[random.IntN(len(c.engines))]
			engine.SetFault(faults[random.IntN(len(faults))])
			sleep(ctx, faultDuration)
			engine.SetFault(standin.Fault{})
		case 7:
			if random.IntN(3) == 0 {
				c.restart(random.IntN(len(c.agents)))
			}
		}
		sleep(ctx, faultDuration)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
