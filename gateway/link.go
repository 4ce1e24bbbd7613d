package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"burdocksaddle/routing"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
	"burdocksaddle/worker"
)

const (
	// silentAfter gives a steward's stream up after three missed heartbeats.
	silentAfter = 1500 * time.Millisecond
	redialAfter = 200 * time.Millisecond
	// demandEvery is how often the leader hears what this gateway is asked for.
	demandEvery = 200 * time.Millisecond
	// shownMost is the age of the leader's last word at which the platform's list is read instead.
	shownMost    = 1200 * time.Millisecond
	listEvery    = time.Second
	watchTick    = 100 * time.Millisecond
	demandQueue  = 1
	sendDeadline = time.Second
)

// link is the stream to one steward.
type link struct {
	address string
	cancel  context.CancelFunc
	demand  chan *wirepb.DemandReport
}

// Run keeps the streams to the stewards until the context ends; the channel gives the end.
func (g *Gateway) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		g.watch(ctx)
		ended <- nil
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
			g.follow(ctx, &running)
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

// unshown tells whether no leader has shown the workers for a while.
func (g *Gateway) unshown(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.shown) > shownMost
}

func (g *Gateway) readList(ctx context.Context) {
	listed, unread, err := g.list(ctx)
	if err != nil {
		g.log.Info("list of workers not read", "error", err.Error())
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Since(g.shown) <= shownMost {
		return
	}
	g.log.Info("workers taken from the list", "count", len(listed), "unread", unread)
	g.takeWorkersLocked(listed, time.Now())
}

// follow keeps a stream to each steward of the settings and of the last word of a steward, and ends the others.
func (g *Gateway) follow(ctx context.Context, running *sync.WaitGroup) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wanted := slices.Concat(g.config.Stewards, g.stewards)
	for _, address := range wanted {
		if _, known := g.links[address]; known || address == "" {
			continue
		}
		linkCtx, cancel := context.WithCancel(ctx)
		l := &link{address: address, cancel: cancel, demand: make(chan *wirepb.DemandReport, demandQueue)}
		g.links[address] = l
		running.Go(func() { g.keep(linkCtx, l) })
	}
	for address, l := range g.links {
		if !slices.Contains(wanted, address) {
			l.cancel()
			delete(g.links, address)
		}
	}
}

// keep opens the stream to a steward again whenever it breaks.
func (g *Gateway) keep(ctx context.Context, l *link) {
	connected := false
	for ctx.Err() == nil {
		err := g.subscribe(ctx, l, &connected)
		if connected && ctx.Err() == nil {
			g.log.Info("steward lost", "steward", l.address, "error", errorText(err))
		}
		connected = false
		g.lost(l.address)
		select {
		case <-time.After(redialAfter):
		case <-ctx.Done():
		}
	}
}

func (g *Gateway) lost(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leading == address {
		g.leading = ""
	}
}

func (g *Gateway) subscribe(ctx context.Context, l *link, connected *bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialling, stop := context.WithTimeout(ctx, silentAfter)
	stream, err := g.pool.Open(dialling, l.address)
	if err != nil {
		stop()
		return err
	}
	stream.Detach()
	stop()
	defer stream.Close()
	version := uint64(0)
	if t := g.table.Load(); t != nil {
		version = t.Version
	}
	hello := &wirepb.Frame{Body: &wirepb.Frame_Subscribe{Subscribe: &wirepb.Subscribe{Node: g.config.Node, Version: version}}}
	if err := stream.Send(hello, sendDeadline); err != nil {
		return err
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		g.sendDemand(ctx, l, stream)
	}()
	defer func() {
		cancel()
		<-sent
	}()
	for {
		frame, err := stream.Receive(silentAfter)
		if err != nil {
			g.pool.DropOlder(stream)
			return err
		}
		if !*connected {
			*connected = true
			g.log.Info("steward connected", "steward", l.address)
		}
		if snapshot := frame.GetSnapshot(); snapshot != nil {
			g.take(l.address, snapshot)
		}
	}
}

func (g *Gateway) sendDemand(ctx context.Context, l *link, stream *wire.Stream) {
	for {
		select {
		case <-ctx.Done():
			stream.Close()
			return
		case report := <-l.demand:
			frame := &wirepb.Frame{Body: &wirepb.Frame_DemandReport{DemandReport: report}}
			if stream.Send(frame, sendDeadline) != nil {
				return // the receiving side sees the broken stream too
			}
		}
	}
}

// tellDemand tells the leader what this gateway is asked for.
func (g *Gateway) tellDemand() {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.links[g.leading]
	if l == nil {
		return
	}
	report := &wirepb.DemandReport{}
	for _, model := range slices.Sorted(maps.Keys(g.demands)) {
		d := g.demands[model]
		report.Models = append(report.Models, &wirepb.GatewayDemand{
			Service: d.service, Model: model, Came: uint32(d.came), Running: uint32(d.running), Waiting: uint32(d.waiting),
		})
	}
	select {
	case l.demand <- report:
	default:
		return // the last report is still to be sent; the counts stay for the next
	}
	for model, d := range g.demands {
		if d.came = 0; d.running == 0 && d.waiting == 0 {
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
	if s.GetLeads() && g.leading != steward {
		g.log.Info("leader changed", "leader", steward)
		g.leading = steward
	} else if !s.GetLeads() && g.leading == steward {
		g.leading = ""
	}
	if s.GetProven() && len(s.GetStewards()) > 0 {
		g.stewards = s.GetStewards()
	}
	if !s.GetLeads() || !s.GetHasWorkers() || !s.GetProven() || len(s.GetWorkers()) == 0 {
		return
	}
	now := time.Now()
	workers := make([]worker.State, 0, len(s.GetWorkers()))
	for _, w := range s.GetWorkers() {
		workers = append(workers, stateFromWire(w))
	}
	g.shown, g.expected = now, make(map[string]time.Duration, len(s.GetAbsent()))
	for _, a := range s.GetAbsent() {
		g.expected[a.GetName()] = time.Duration(a.GetExpectedMs()) * time.Millisecond
	}
	g.takeWorkersLocked(workers, now)
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
	g.log.Info("table in force", "version", table.Version, "steward", steward, "routes", len(table.Routes))
	g.wakeLocked()
}

// takeWorkersLocked replaces what is known of the workers.
func (g *Gateway) takeWorkersLocked(workers []worker.State, now time.Time) {
	known := make(map[string]worker.State, len(workers))
	for _, w := range workers {
		known[w.ID] = w
		if w.Load != nil {
			g.router.Report(w.ID, routing.Report{Running: w.Load.Running, Waiting: w.Load.Waiting, Slots: w.Slots}, now)
		}
	}
	g.workers = known
	g.router.Sweep(func(name string) bool { _, ok := known[name]; return ok })
	for p, until := range g.absent {
		if now.After(until) {
			delete(g.absent, p)
		}
	}
	g.wakeLocked()
}

func stateFromWire(w *wirepb.WorkerState) worker.State {
	s := worker.State{
		ID: w.GetId(), Born: w.GetBornMs(), Service: w.GetService(), Address: w.GetAddress(), DataCentre: w.GetDataCentre(),
		Slots: int(w.GetSlots()), Draining: w.GetDraining(), Loading: w.GetLoading(),
		LoadingLeft: time.Duration(w.GetLoadingLeftMs()) * time.Millisecond,
		Remaining:   time.Duration(w.GetRemainingMs()) * time.Millisecond,
	}
	for _, m := range w.GetModels() {
		s.Models = append(s.Models, worker.Model{Name: m.GetName(), Adapters: m.GetAdapters()})
	}
	if w.GetReported() {
		s.Load = &worker.Load{
			Running: int(w.GetRunning()), Waiting: int(w.GetWaiting()), KVUsed: int(w.GetKvUsed()), KVTotal: int(w.GetKvTotal()),
		}
	}
	return s
}
