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
	// leaderSettleTime is how long a new leader waits before it assigns endpoints, so that every steward has reported to it.
	leaderSettleTime = 400 * time.Millisecond
	// endpointGoneAfter is how long an address must be missing from the successfully read lists for its holder to be dropped. No order
	// is in flight for that long.
	endpointGoneAfter = 30 * time.Second
	// rebalanceInterval is the minimum time between two moves that only even out the load, as a moved endpoint is without a holder for
	// seconds.
	rebalanceInterval = 10 * time.Second
	// maxHolderReportAge is the maximum age of a steward's report for gateways to send it adapter requests.
	maxHolderReportAge = 600 * time.Millisecond
)

// assignHolders commits a new assignment of the endpoints if the current one no longer fits, and tells the planner which stewards
// may issue orders.
func (l *leader) assignHolders(ctx context.Context, now time.Time) {
	l.mu.Lock()
	view, current := l.holderView(now), l.holders
	for address := range l.readyFences {
		if _, held := current.Holders[address]; !held {
			delete(l.readyFences, address)
		}
	}
	l.planner.SetHolders(func(address string) string {
		a := current.Holders[address]
		if l.readyFences[address] != a.Fence || now.Sub(l.lastReportAt[a.Steward]) > maxHolderReportAge {
			return ""
		}
		return a.Steward
	})
	l.mu.Unlock()
	if l.assigning || now.Sub(l.leadershipSince) < leaderSettleTime || !l.ordersAllowed(ctx) {
		return
	}
	next, changed := current.Next(view)
	if !changed {
		return
	}
	if view.Rebalance {
		l.rebalancedAt = now
	}
	l.assigning = true
	l.tasks.Go(func() {
		commitCtx, cancel := context.WithTimeout(ctx, changeTimeout)
		defer cancel()
		err := l.propose(commitCtx, &wirepb.StewardChange{Holders: next.ChangeFrom(current)})
		l.postResult(ctx, func() {
			l.assigning = false
			if err != nil {
				l.log.Info("holder assignment not committed", "revision", next.Revision, "error", err.Error())
			}
		})
	})
}

// holderView returns what the leader knows of endpoints and stewards. Nothing is moved to even out the load while a steward that is no
// voter any more holds endpoints, as it may be restarting. The caller must hold the lock.
func (l *leader) holderView(now time.Time) holder.View {
	view := holder.View{SilentFor: map[string]time.Duration{}, Retained: map[string]bool{}, ReadyFences: maps.Clone(l.readyFences), Rebalance: now.Sub(l.rebalancedAt) > rebalanceInterval}
	view.Endpoints = l.planner.Addresses()
	for address, at := range l.lastListed {
		if l.listReadAt.Sub(at) <= endpointGoneAfter {
			continue
		}
		if _, held := l.holders.Holders[address]; held {
			view.Gone = append(view.Gone, address)
		} else {
			delete(l.lastListed, address)
		}
	}
	holding := map[string]bool{}
	for _, a := range l.holders.Holders {
		holding[a.Steward] = true
	}
	for _, m := range l.quorumLog.Members() {
		switch {
		case m.Voter:
		case holding[m.Address]:
			view.Retained[m.Address], view.Rebalance = true, false
		default:
			continue // it may not be able to verify the quorum yet
		}
		last := l.leadershipSince
		if reportedAt, ok := l.lastReportAt[m.Address]; ok {
			last = reportedAt
		}
		view.SilentFor[m.Address] = now.Sub(last)
	}
	return view
}

// collectAdapterUse collects the adapters that the gateways use at each endpoint, keyed by address.
func (l *leader) collectAdapterUse() {
	type endpointModel struct{ address, model string }
	adapters := map[endpointModel][]string{}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range l.demands {
		for _, m := range d.models {
			for _, used := range m.GetAdapters() {
				state, _ := l.planner.Endpoint(used.GetEndpoint())
				key := endpointModel{state.Address, m.GetModel()}
				adapters[key] = append(adapters[key], used.GetAdapter())
			}
		}
	}
	l.adaptersInUse = map[string]*wirepb.EndpointUse{}
	for key, names := range adapters {
		if l.adaptersInUse[key.address] == nil {
			l.adaptersInUse[key.address] = &wirepb.EndpointUse{Address: key.address}
		}
		slices.Sort(names)
		use := l.adaptersInUse[key.address]
		use.Models = append(use.Models, &wirepb.HeldModel{Name: key.model, Adapters: slices.Compact(names)})
	}
}
