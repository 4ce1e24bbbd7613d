package agent

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"burdocksaddle/engineapi"
	"burdocksaddle/wirepb"
)

// sendReport sends the report if it changed or the heartbeat is due, at most once per reportRetryInterval.
func (a *Agent) sendReport(ctx context.Context, rec *reconciler, report *wirepb.Report) {
	a.addAgentState(report)
	now := time.Now()
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(report)
	if err != nil {
		return
	}
	if string(data) == rec.lastReport && now.Sub(rec.lastReportAt) < heartbeatInterval || now.Sub(rec.lastAttemptAt) < reportRetryInterval {
		return
	}
	rec.lastAttemptAt = now
	rec.sequence++
	report.Sequence = rec.sequence
	for _, address := range a.settings.Controls {
		reply, err := a.pool.Call(ctx, address, &wirepb.Frame{Body: &wirepb.Frame_Report{Report: report}}, controlCallTimeout)
		if err == nil && reply.GetProposeReply().GetCommitted() {
			rec.lastReport, rec.lastReportAt = string(data), now
			return
		}
	}
}

// sendPlainReport sends the report of an agent whose endpoint holds no models.
func (a *Agent) sendPlainReport(ctx context.Context, rec *reconciler) {
	a.sendReport(ctx, rec, &wirepb.Report{Endpoint: a.settings.Agent.Endpoint, Incarnation: a.incarnation})
}

// addAgentState adds the agent's own state to the report.
func (a *Agent) addAgentState(report *wirepb.Report) {
	a.mu.Lock()
	defer a.mu.Unlock()
	report.Leaving = a.leaving || a.stopping
	report.AdaptersWaiting = uint32(a.adapters.waitingForPermit)
	report.Cached = a.cachedCheckpoints
	report.Missing = a.missingEndpoints
}

// recordEngineState stores the adapters and cached checkpoints from the engine's state.
func (a *Agent) recordEngineState(state engineapi.State) {
	loaded := map[string][]string{}
	for _, replica := range state.Held {
		if replica.State == engineapi.HeldLoaded {
			loaded[replica.Model] = replica.Adapters
		}
	}
	var cached []*wirepb.CachedCheckpoint
	for name, location := range state.Cached {
		model, version := splitCheckpoint(name)
		cached = append(cached, &wirepb.CachedCheckpoint{Model: model, Version: version, Memory: location == engineapi.CacheMemory})
	}
	slices.SortFunc(cached, compareCheckpoints)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.adapters.loaded, a.cachedCheckpoints = loaded, cached
}
