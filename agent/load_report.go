package agent

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"burdocksaddle/engineapi"
	"burdocksaddle/wirepb"
)

// tell sends a report when it holds news and otherwise now and then.
func (a *Agent) tell(ctx context.Context, h *holder, report *wirepb.Report) {
	a.addOwn(report)
	now := time.Now()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(report)
	if err != nil {
		return
	}
	if string(data) == h.told && now.Sub(h.toldAt) < heartbeatInterval || now.Sub(h.triedAt) < reportRetry {
		return
	}
	h.triedAt = now
	h.sequence++
	report.Sequence = h.sequence
	for _, address := range a.settings.Controls {
		reply, err := a.pool.Call(ctx, address, &wirepb.Frame{Body: &wirepb.Frame_Report{Report: report}}, callTimeout)
		if err == nil && reply.GetProposeReply().GetCommitted() {
			h.told, h.toldAt = string(data), now
			return
		}
	}
}

// tellPlain is the report of an agent whose endpoint holds no models.
func (a *Agent) tellPlain(ctx context.Context, h *holder) {
	a.tell(ctx, h, &wirepb.Report{Endpoint: a.settings.Agent.Endpoint, Incarnation: a.incarnation})
}

// addOwn adds what the agent itself knows.
func (a *Agent) addOwn(report *wirepb.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	report.Leaving = a.leaving || a.stopping
	report.AdaptersWaiting = uint32(a.adapters.waiting)
	report.Cached = a.cached
	report.Missing = a.missing
}

// noteAdapters keeps what the engine says of adapters and checkpoints.
func (a *Agent) noteAdapters(state engineapi.State) {
	held := map[string][]string{}
	for _, one := range state.Held {
		if one.State == engineapi.HeldLoaded {
			held[one.Model] = one.Adapters
		}
	}
	var cached []*wirepb.CachedCheckpoint
	for name, place := range state.Cached {
		model, version := cutCheckpoint(name)
		cached = append(cached, &wirepb.CachedCheckpoint{Model: model, Version: version, Memory: place == engineapi.CacheMemory})
	}
	slices.SortFunc(cached, compareCheckpoints)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.adapters.held, a.cached = held, cached
}
