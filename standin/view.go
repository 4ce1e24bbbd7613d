package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"burdocksaddle/engineapi"
)

const maxReports = 1024

type reportVersion struct {
	since  time.Time
	report engineapi.Report
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.State())
}

// State returns what the engine holds now.
func (e *Engine) State() engineapi.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := engineapi.State{
		MemoryMB: e.memoryMB, HighestFence: e.highestFence, Role: e.role,
		Held: []engineapi.Held{}, Cached: map[string]string{},
	}
	if used := e.heldMB(); used < e.memoryMB {
		state.FreeMB = e.memoryMB - used
	}
	for _, h := range e.held {
		one := h.Held
		one.Adapters = slices.Clone(one.Adapters)
		state.Held = append(state.Held, one)
	}
	for _, checkpoint := range e.disk.checkpoints {
		state.Cached[checkpoint] = engineapi.CacheDisk
	}
	for _, checkpoint := range e.memory.checkpoints {
		state.Cached[checkpoint] = engineapi.CacheMemory
	}
	return state
}

// report notes the load for readers that see it after the lag.
func (e *Engine) report() {
	now := engineapi.Report{Running: len(e.running), Waiting: len(e.waiting), Slots: e.slots}
	if n := len(e.reports); n > 0 && e.reports[n-1].report == now {
		return
	}
	e.reports = append(e.reports, reportVersion{since: time.Now(), report: now})
	e.pruneReports()
}

// pruneReports drops the versions that a newer visible one replaces.
func (e *Engine) pruneReports() {
	visible := time.Now().Add(-e.reportLag)
	for len(e.reports) > 1 && (len(e.reports) > maxReports || !e.reports[1].since.After(visible)) {
		e.reports = e.reports[1:]
	}
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Report())
}

// Report returns the engine's load as it was before the lag.
func (e *Engine) Report() engineapi.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pruneReports()
	report := engineapi.Report{Slots: e.slots}
	if len(e.reports) > 0 && !e.reports[0].since.After(time.Now().Add(-e.reportLag)) {
		report = e.reports[0].report
	}
	report.AgeMS = e.reportLag.Milliseconds()
	return report
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	events := e.prefixes.after(after, time.Now().Add(-e.eventLag), e.eventGap)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	prefix, _ := strconv.ParseUint(r.PathValue("prefix"), 10, 64)
	e.mu.Lock()
	model, cached := e.prefixes.model(prefix)
	e.mu.Unlock()
	if !cached {
		writeProblem(w, http.StatusNotFound, CodeNotCached, r.PathValue("prefix"))
		return
	}
	data, _ := json.Marshal(prefix)
	writeJSON(w, http.StatusOK, engineapi.KV{Model: model, Prefix: prefix, Data: data})
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var kv engineapi.KV
	if !readJSON(w, r, &kv) {
		return
	}
	if strconv.FormatUint(kv.Prefix, 10) != r.PathValue("prefix") {
		writeProblem(w, http.StatusBadRequest, CodeBadRequest, "the prefix differs from the path's")
		return
	}
	e.mu.Lock()
	e.prefixes.touch(kv.Model, kv.Prefix)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
