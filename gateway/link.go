package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/routing"
	"burdocksaddle/wirepb"
)

const (
	// demandEvery is how often the leader hears what this gateway is asked for.
	demandEvery = 200 * time.Millisecond
	// shownMost is the age of the leader's last word at which the platform's list is read instead.
	shownMost = 1200 * time.Millisecond
	listEvery = time.Second
	watchTick = 100 * time.Millisecond
)

// Run keeps the streams to the stewards until the context ends; the channel gives the end.
func (g *Gateway) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	linked := g.links.Run(ctx)
	go func() {
		g.watch(ctx)
		ended <- <-linked
	}()
	return ended
}

func (g *Gateway) watch(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(watchTick)
	defer ticker.Stop()
	nextList, nextDemand := time.Time{}, time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.urgent:
			g.tellDemand()
		case now := <-ticker.C:
			if now.After(nextDemand) {
				nextDemand = now.Add(demandEvery)
				g.tellDemand()
			}
			if g.unshown(now) && now.After(nextList) {
				nextList = now.Add(listEvery)
				running.Go(func() { g.readList(ctx) })
			}
		}
	}
}

// unshown tells whether no leader has shown the endpoints for a while.
func (g *Gateway) unshown(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.shown) > shownMost
}

func (g *Gateway) readList(ctx context.Context) {
	listed, unread, err := g.list(ctx)
	if err != nil {
		g.log.Info("list of endpoints not read", "error", err.Error())
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Since(g.shown) <= shownMost {
		return
	}
	g.log.Info("endpoints taken from the list", "count", len(listed), "unread", unread)
	for i, w := range listed {
		listed[i].Holder = g.endpoints[w.ID].Holder // the list does not know it
	}
	g.takeEndpointsLocked(listed, time.Now())
}

func (g *Gateway) lost(steward string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pictures, steward)
	if g.leading == steward {
		g.leading = ""
	}
}

// tellDemand tells the leader what this gateway is asked for.
func (g *Gateway) tellDemand() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leading == "" {
		return
	}
	report := &wirepb.DemandReport{}
	for _, model := range slices.Sorted(maps.Keys(g.demands)) {
		d := g.demands[model]
		var adapters []*wirepb.AdapterUse
		for used := range d.adapters {
			adapters = append(adapters, &wirepb.AdapterUse{Endpoint: used.endpoint, Adapter: used.adapter})
		}
		report.Models = append(report.Models, &wirepb.GatewayDemand{
			Service: d.service, Model: model, Came: uint32(d.came), Running: uint32(d.running), Waiting: uint32(d.waiting), Missed: uint32(d.missed),
			RunningAt: slices.Sorted(maps.Keys(d.at)), Adapters: adapters,
		})
	}
	if !g.links.Tell(g.leading, &wirepb.Frame{Body: &wirepb.Frame_DemandReport{DemandReport: report}}) {
		return // the last report is still to be sent; the counts stay for the next
	}
	for model, d := range g.demands {
		if d.came, d.missed = 0, 0; d.running == 0 && d.waiting == 0 {
			delete(g.demands, model)
		}
	}
}

// take puts what a steward shows in force; a table is never replaced by an older one.
func (g *Gateway) take(steward string, s *wirepb.Snapshot) {
	if len(s.GetTable()) > 0 {
		g.takeTable(steward, s)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.GetProven() && s.GetGateways() > 0 {
		g.share(int(s.GetGateways()))
	}
	if s.GetLeads() && g.leading != steward {
		g.log.Info("leader changed", "leader", steward)
		g.leading = steward
	} else if !s.GetLeads() && g.leading == steward {
		g.leading = ""
	}
	if !s.GetLeads() || !s.GetHasEndpoints() {
		return
	}
	now, picture := time.Now(), g.pictures[steward]
	if picture == nil {
		picture = &endpoint.Picture{}
		g.pictures[steward] = picture
	}
	if !picture.Take(s, now) || !s.GetProven() || len(picture.States) == 0 {
		return
	}
	g.shown, g.expecting = now, picture
	g.takeEndpointsLocked(slices.Collect(maps.Values(picture.States)), now)
}

func (g *Gateway) takeTable(steward string, s *wirepb.Snapshot) {
	g.mu.Lock()
	held := g.table.Load()
	g.mu.Unlock()
	if held != nil && held.Version >= s.GetVersion() {
		return
	}
	table, err := g.decode(s.GetTable())
	if err != nil {
		g.log.Error(err, "table not taken", "steward", steward, "version", s.GetVersion())
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if held = g.table.Load(); held != nil && held.Version >= table.Version {
		return
	}
	g.table.Store(table)
	g.tabled = time.Now()
	g.log.Info("table in force", "version", table.Version, "steward", steward, "routes", len(table.Routes))
	g.wakeLocked()
}

// takeEndpointsLocked replaces what is known of the endpoints.
func (g *Gateway) takeEndpointsLocked(endpoints []endpoint.State, now time.Time) {
	known := make(map[string]endpoint.State, len(endpoints))
	for _, w := range endpoints {
		known[w.ID] = w
		if w.Load != nil {
			g.router.Report(w.ID, routing.Report{Running: w.Load.Running, Waiting: w.Load.Waiting, Slots: w.Slots}, now)
		}
	}
	g.endpoints = known
	g.router.Sweep(func(name string) bool { _, ok := known[name]; return ok })
	for p, until := range g.absent {
		if now.After(until) {
			delete(g.absent, p)
		}
	}
	g.wakeLocked()
}
