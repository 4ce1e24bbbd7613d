package main

import (
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"burdocksaddle/platform/standin"
)

const (
	orderWarmUp = 6 * time.Second
	// cutTime is within the 12 s of the longest core_cut of the site's standard days.
	cutTime = 10 * time.Second
	// afterCut is how long the case goes on after the cut.
	afterCut = 6 * time.Second
	// The callers of each endpoint want more adapters than it has room for.
	orderEngines     = 6
	callersPerEngine = 3
)

// staleOrder cuts the machine that gave the last order off from all others, while callers keep adapters changing, and checks rule ONE on the
// orders that the endpoints received. With ANY_MOMENT set the cut does not wait for an order.
func staleOrder(c *cluster, trouble bool) int {
	for n := range 3 {
		c.addMachine("steward", n)
	}
	c.addMachine("gateway", 0)
	c.addMachine("gateway", 1)
	var models []string
	for n := range orderEngines {
		model := fmt.Sprintf("model%d", n)
		models = append(models, model)
		c.addEngine(standin.Config{
			Service: "engine", Slots: 8, MemoryMB: 65_000, AdapterSlots: 3, KVTokens: 100_000, Models: map[string]standin.Model{model: {WeightsMB: 30_000, AdapterMB: 40}},
			InitialModels: []string{model}, OnDisk: []string{model}, StoreLoadTime: 1500 * time.Millisecond, DiskLoadTime: 200 * time.Millisecond,
			Events: 3, EventInterval: 10 * time.Millisecond, RequestTime: 20 * time.Millisecond,
		}, n)
	}
	c.start(c.engines...)
	table, err := standin.Table(1, []standin.Route{
		{Name: "live", PathPrefix: "/live/", Kind: "streaming", Service: "engine", LatencyObjectiveMS: 500, TimeoutMS: 4000, Resumable: true},
	}, nil, models, "engine", "plain")
	must(err)
	c.configure(table, 10*time.Second)
	c.awaitReady(10 * time.Second)
	c.record.printf("gateway ready")
	var sent, served atomic.Int64
	for n := range orderEngines * callersPerEngine {
		go c.callAdapters(n, &sent, &served)
	}
	time.Sleep(orderWarmUp)
	var healed time.Time
	if trouble {
		giver := "steward-1"
		if os.Getenv("ANY_MOMENT") != "" {
			c.network.setCut(giver, true)
			c.record.printf("%s is cut off from all other machines", giver)
		} else {
			select {
			case giver = <-c.network.cutNextGiver():
			case <-time.After(orderWarmUp):
				panic(errSetup{fmt.Errorf("no machine gives an order")})
			}
			c.record.printf("%s is cut off from all other machines while an order of it is on its way", giver)
		}
		time.Sleep(cutTime)
		c.network.setCut(giver, false)
		healed = time.Now()
		c.record.printf("the cut ends")
	} else {
		time.Sleep(cutTime)
	}
	time.Sleep(afterCut)
	c.record.printf("%d requests sent, %d served", sent.Load(), served.Load())
	broken := 0
	for _, e := range c.engines {
		for _, run := range e.Runs() {
			c.record.at(run.Start, "%s ran request %s, complete %t", e.ID, run.ID, run.Complete)
		}
	}
	for _, e := range c.engines {
		broken += c.checkOrders(e, healed)
	}
	return broken
}

// callAdapters requests streams of alternating adapters until the case ends.
func (c *cluster) callAdapters(caller int, sent, served *atomic.Int64) {
	client := standin.NewCaller(c.machine(fmt.Sprintf("gateway-%d", caller%2)).client, true)
	for n := 0; c.ctx.Err() == nil; n++ {
		request := standin.Request{
			ID: fmt.Sprintf("%04x%08x", caller+1, n+1), Host: "one.example", Path: "/live/1", Model: fmt.Sprintf("model%d/a%d", caller%orderEngines, 1+(caller/orderEngines+n)%6),
			Tokens: "100,20", Parts: fmt.Sprintf("a1:50,%x:50", n+1), Timeout: 4 * time.Second,
		}
		outcome := client.Do(c.ctx, request)
		sent.Add(1)
		c.record.at(outcome.Sent, "request %s for %s sent", request.ID, request.Model)
		c.record.at(outcome.Done, "request %s answered: status %d, complete %t, stamp %q", request.ID, outcome.Status, outcome.Complete, outcome.Stamp)
		if outcome.Status == 200 && outcome.Complete {
			served.Add(1)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// checkOrders counts the orders that break rule ONE: two holders with one fencing token, a lower one after a higher one, or holders that take
// turns within the lease. Orders that arrive within thawTime after a link healed don't count.
func (c *cluster) checkOrders(e *standin.Endpoint, healed time.Time) (broken int) {
	orders := e.Orders()
	var previous standin.Order
	for i, o := range orders {
		excused := !healed.IsZero() && o.At.After(healed) && o.At.Sub(healed) <= thawTime
		fault := ""
		switch {
		case i == 0 || excused || o.Holder == previous.Holder:
		case o.Fence == previous.Fence:
			fault = "two holders with one fencing token"
		case o.Fence < previous.Fence:
			fault = "a lower fencing token after a higher one"
		case o.At.Sub(previous.At) < leaseTime:
			fault = "holders take turns within the lease"
		}
		if fault != "" {
			broken++
			fault = "  BROKEN: " + fault
		}
		c.record.at(o.At, "order %d at %s: holder %s, fencing token %d, accepted %t, excused %t%s", i+1, e.ID, o.Holder, o.Fence, o.Accepted, excused, fault)
		if !excused {
			previous = o
		}
	}
	return broken
}
