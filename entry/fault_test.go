package entry_test

import (
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/standin"
)

const longDeadline = 20 * time.Second

// TestClaimedRequestWithFaults injects a fault at each stage of a non-repeatable request. It checks the run state that
// the caller received against the service's own run count.
func TestClaimedRequestWithFaults(t *testing.T) {
	tests := []struct {
		name string
		// before injects a fault before the request, during one while the request runs.
		before, during func(*cluster)
		// want lists the allowed outcomes for the caller, retry those for a retry with the same key at another entry.
		want, retry []string
		runs        int
	}{
		{"no fault", nil, nil, []string{"Answered"}, []string{"Answered"}, 1},
		{"connection drops traffic before", func(c *cluster) { c.network.dropTraffic(c.agents[0].settings.Listen) }, nil, []string{"Answered"}, []string{"Answered"}, 1},
		{"connection drops outbound traffic before", func(c *cluster) { c.network.dropOutbound(c.agents[0].settings.Listen) }, nil, []string{"Answered"}, []string{"Answered"}, 1},
		{"connection drops inbound traffic before", func(c *cluster) { c.network.dropInbound(c.agents[0].settings.Listen) }, nil, []string{"Answered"}, []string{"Answered"}, 1},
		{"connection refused", func(c *cluster) {
			c.network.setRefused(c.agents[0].settings.Listen, true)
			c.network.reset(c.agents[0].settings.Listen)
		}, nil, []string{"NotRun"}, []string{"NotRun"}, 0},
		{"connection reset during run", nil, func(c *cluster) { c.network.reset(c.agents[0].settings.Listen) }, []string{"Answered"}, []string{"Answered"}, 1},
		{"connection drops traffic during run", nil, func(c *cluster) { c.network.dropTraffic(c.agents[0].settings.Listen) }, []string{"Answered"}, []string{"Answered"}, 1},
		{"connection drops inbound traffic during run", nil, func(c *cluster) { c.network.dropInbound(c.agents[0].settings.Listen) }, []string{"Answered"}, []string{"Answered"}, 1},
		{"agent restarts before dispatch", func(c *cluster) {
			c.restart(0)
			// Until the entry sees the old connection close, it can't tell whether a dispatch on it arrived.
			c.await("old connection closed", func() bool { return c.network.openConns(c.agents[0].settings.Listen) == 0 })
		}, nil, []string{"Answered"}, []string{"Answered"}, 1},
		{"agent restarts during run", nil, func(c *cluster) { c.restart(0) }, []string{"Unknown"}, []string{"Unknown"}, 1},
		{"service refuses connections", func(c *cluster) { c.services[0].SetFault(standin.Fault{Refuse: true}) }, nil, []string{"Unknown"}, []string{"Unknown"}, 0},
		{"service loses the response", func(c *cluster) { c.services[0].SetFault(standin.Fault{LoseAnswer: true}) }, nil, []string{"Unknown"}, []string{"Unknown"}, 1},
		{"service stalls during run", nil, func(c *cluster) { c.services[0].SetFault(standin.Fault{StallOpen: true}) }, []string{"Unknown"}, []string{"Unknown"}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, clusterConfig{entries: 2, services: 1, callTime: 500 * time.Millisecond})
			if got := c.lookUpStock(t.Context(), 0, longDeadline); got.err != nil {
				t.Fatal(got.err)
			}
			if test.before != nil {
				test.before(c)
			}
			first := make(chan result, 1)
			go func() { first <- c.book(t.Context(), 0, "key", 4*time.Second) }()
			if test.during != nil {
				c.await("booking running", func() bool { return c.runCount("key") > 0 })
				test.during(c)
			}
			got := <-first
			retry := c.book(t.Context(), 1, "key", 3*time.Second)
			if test.name == "connection refused" {
				retry = got
			}
			if !contains(test.want, got.outcomeName()) || !contains(test.retry, retry.outcomeName()) {
				t.Errorf("first request: %s (%v), retry: %s (%v)", got.outcomeName(), got.err, retry.outcomeName(), retry.err)
			}
			if diff := cmp.Diff(test.runs, c.runCount("key")); diff != "" {
				t.Errorf("run count: %s", diff)
			}
			if got.outcomeName() == "Answered" && retry.outcomeName() == "Answered" && got.body != retry.body {
				t.Errorf("responses differ: %q and %q", got.body, retry.body)
			}
		})
	}
}

func contains(all []string, one string) bool {
	for _, other := range all {
		if other == one {
			return true
		}
	}
	return false
}

// TestStreamWithFaults injects a fault at each stage of a completion and checks that the caller receives each token
// exactly once.
func TestStreamWithFaults(t *testing.T) {
	tests := []struct {
		name           string
		before, during func(*cluster)
	}{
		{"no fault", nil, nil},
		{"connections drop traffic before", func(c *cluster) { c.forEachAgent(c.network.dropTraffic) }, nil},
		{"connections drop outbound traffic before", func(c *cluster) { c.forEachAgent(c.network.dropOutbound) }, nil},
		{"connections reset", nil, func(c *cluster) { c.forEachAgent(c.network.reset) }},
		{"connections drop traffic", nil, func(c *cluster) { c.forEachAgent(c.network.dropTraffic) }},
		{"connections drop inbound traffic", nil, func(c *cluster) { c.forEachAgent(c.network.dropInbound) }},
		{"connections drop outbound traffic", nil, func(c *cluster) { c.forEachAgent(c.network.dropOutbound) }},
		{"engine connections stall", nil, func(c *cluster) {
			for _, engine := range c.engines {
				engine.SetFault(standin.Fault{StallOpen: true})
			}
		}},
		{"engine resets connection after the first tokens", func(c *cluster) { c.engines[0].SetFault(standin.Fault{ResetAfter: 5}) }, nil},
		{"engine fails", nil, func(c *cluster) { c.lastRequestEngine().Close() }},
		{"engines reset connections at the first token", func(c *cluster) {
			for _, engine := range c.engines {
				engine.SetFault(standin.Fault{ResetAfter: 1})
			}
		}, func(c *cluster) {
			for _, engine := range c.engines {
				engine.SetFault(standin.Fault{})
			}
		}},
		{"agent restarts", nil, func(c *cluster) {
			for i, engine := range c.engines {
				if engine == c.lastRequestEngine() {
					c.restart(i)
				}
			}
		}},
		{"one engine refuses connections", func(c *cluster) { c.engines[0].SetFault(standin.Fault{Refuse: true}) }, nil},
	}
	for _, test := range tests {
		for _, stream := range []bool{true, false} {
			name := test.name
			if !stream {
				name += ", not streamed"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				testStreamWithFault(t, stream, test.before, test.during)
			})
		}
	}
}

// testStreamWithFault requests a long completion with a fault before or during the request.
func testStreamWithFault(t *testing.T, stream bool, before, during func(*cluster)) {
	const words = 60
	c := newCluster(t, clusterConfig{entries: 1, engines: 2, engineOptions: []standin.EngineOption{standin.TokenTime(10 * time.Millisecond)}})
	if got := c.chat(t.Context(), 0, "warm", false, longDeadline); got.err != nil {
		t.Fatal(got.err)
	}
	if before != nil {
		before(c)
	}
	text := strings.TrimSpace(strings.Repeat("word ", words))
	done := make(chan result, 1)
	go func() { done <- c.chat(t.Context(), 0, text, stream, longDeadline) }()
	if during != nil {
		time.Sleep(200 * time.Millisecond)
		during(c)
	}
	got := <-done
	if got.err != nil {
		t.Fatal(got.err)
	}
	if diff := cmp.Diff(words, strings.Count(got.body, "word")); diff != "" {
		t.Errorf("word count: %s\n%s", diff, got.body)
	}
	if stream && !strings.HasSuffix(strings.TrimSpace(got.body), "[DONE]") {
		t.Errorf("stream has no [DONE] event: %s", got.body)
	}
}

func (c *cluster) forEachAgent(fault func(address string)) {
	for _, a := range c.agents {
		fault(a.settings.Listen)
	}
}

// lastRequestEngine returns the engine that runs the last request.
func (c *cluster) lastRequestEngine() *standin.Engine {
	c.mu.Lock()
	id := "request-" + strconv.Itoa(c.nextID)
	c.mu.Unlock()
	for _, engine := range c.engines {
		if engine.Counts().Runs[id] > 0 {
			return engine
		}
	}
	c.t.Errorf("no engine runs request %s", id)
	return c.engines[0]
}

// TestCancelOnDisconnect checks that the engine cancels a run and frees its slot once no one reads the response.
func TestCancelOnDisconnect(t *testing.T) {
	tests := []struct {
		name       string
		disconnect func(c *cluster, cancel func())
	}{
		{"caller disconnects", func(_ *cluster, cancel func()) { cancel() }},
		{"entry connections reset", func(c *cluster, _ func()) {
			// As after a crash of the entry: its connections close and no new ones follow.
			c.network.setRefused(c.agents[0].settings.Listen, true)
			c.network.reset(c.agents[0].settings.Listen)
		}},
		{"entry stops sending traffic", func(c *cluster, _ func()) {
			c.network.setRefused(c.agents[0].settings.Listen, true)
			c.network.dropTraffic(c.agents[0].settings.Listen)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, clusterConfig{entries: 1, engines: 1, engineOptions: []standin.EngineOption{standin.TokenTime(50 * time.Millisecond), standin.MinTokens(2000)}})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			done := make(chan result, 1)
			go func() { done <- c.chat(ctx, 0, "long", true, time.Minute) }()
			c.await("request running on the engine", func() bool { return c.engines[0].Report().Running > 0 })
			test.disconnect(c, cancel)
			c.await("run cancelled on the engine", func() bool { return c.engines[0].Counts().Cancelled == 1 })
			cancel()
			if got := <-done; got.err == nil {
				t.Error("a truncated response was reported as complete")
			}
		})
	}
}

// TestRetryFromAnotherAddress sends a booking twice with the same key from two caller addresses, as can happen behind a
// load balancer. It must run once only.
func TestRetryFromAnotherAddress(t *testing.T) {
	t.Parallel()
	c := newCluster(t, clusterConfig{entries: 2, services: 2})
	first := c.bookAs(t.Context(), "10.0.0.1", 0, "key", longDeadline)
	second := c.bookAs(t.Context(), "10.0.0.2", 1, "key", longDeadline)
	want := []any{"Answered", "Answered", first.body, 1}
	if diff := cmp.Diff(want, []any{first.outcomeName(), second.outcomeName(), second.body, c.runCount("key")}); diff != "" {
		t.Error(diff)
	}
}
