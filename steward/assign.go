package steward

import (
	"context"
	"maps"
	"slices"
	"time"

	"burdocksaddle/holder"
	"burdocksaddle/wirepb"
)

const (
	// settleFor is how long a new leader listens before it assigns endpoints: every steward speaks in that time.
	settleFor = 400 * time.Millisecond
	// goneFor is for how long an address must be off the list, as far as that could be read, for its holder to be forgotten; no
	// order is under way so long.
	goneFor = 30 * time.Second
	// balanceEvery is how often an endpoint may change its holder only to even out the load: it is without one for seconds.
	balanceEvery = 10 * time.Second
	// heardMost is the age of a steward's word up to which gateways send it their wishes for adapters.
	heardMost = 600 * time.Millisecond
)

// assignHolders commits a new assignment of the endpoints' holders where the last one does not fit any more, and shows the
// planner who may give orders.
func (l *leader) assignHolders(ctx context.Context, now time.Time) {
	l.mu.Lock()
	view, current := l.holderView(now), l.holders
	for address := range l.ready {
		if _, held := current.Holders[address]; !held {
			delete(l.ready, address)
		}
	}
	l.planner.Hold(func(address string) string {
		a := current.Holders[address]
		if l.ready[address] != a.Fence || now.Sub(l.heard[a.Steward]) > heardMost {
			return ""
		}
		return a.Steward
	})
	l.mu.Unlock()
	if l.assigning || now.Sub(l.since) < settleFor || !l.mayOrder(ctx) {
		return
	}
	next, changed := current.Next(view)
	if !changed {
		return
	}
	if view.Rebalance {
		l.balanced = now
	}
	l.assigning = true
	l.running.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, changeTimeout)
		defer cancel()
		err := l.propose(ctx, &wirepb.StewardChange{Holders: next.ChangeFrom(current)})
		l.finish(ctx, func() {
			l.assigning = false
			if err != nil {
				l.log.Info("assignment of holders not committed", "revision", next.Revision, "error", err.Error())
			}
		})
	})
}

// holderView returns what the leader knows of endpoints and stewards; the caller has the lock.
func (l *leader) holderView(now time.Time) holder.View {
	view := holder.View{SilentFor: map[string]time.Duration{}, ReadyFences: maps.Clone(l.ready), Rebalance: now.Sub(l.balanced) > balanceEvery}
	view.Endpoints = l.planner.Addresses()
	for address, at := range l.listed {
		if l.lastList.Sub(at) <= goneFor {
			continue
		}
		if _, held := l.holders.Holders[address]; held {
			view.Gone = append(view.Gone, address)
		} else {
			delete(l.listed, address)
		}
	}
	for _, m := range l.shared.Members() {
		if !m.Voter {
			continue // it may not be able to prove the quorum yet
		}
		last := l.since
		if heard, ok := l.heard[m.Address]; ok {
			last = heard
		}
		view.SilentFor[m.Address] = now.Sub(last)
	}
	return view
}

// gatherUse gathers which adapters the gateways use at each endpoint, by its address.
func (l *leader) gatherUse() {
	type place struct{ address, model string }
	adapters := map[place][]string{}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range l.demands {
		for _, m := range d.models {
			for _, used := range m.GetAdapters() {
				w, _ := l.planner.Endpoint(used.GetEndpoint())
				at := place{w.Address, m.GetModel()}
				adapters[at] = append(adapters[at], used.GetAdapter())
			}
		}
	}
	l.inUse = map[string]*wirepb.EndpointUse{}
	for at, names := range adapters {
		if l.inUse[at.address] == nil {
			l.inUse[at.address] = &wirepb.EndpointUse{Address: at.address}
		}
		slices.Sort(names)
		use := l.inUse[at.address]
		use.Models = append(use.Models, &wirepb.HeldModel{Name: at.model, Adapters: slices.Compact(names)})
	}
}
