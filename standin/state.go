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
	report engineapi.LoadReport
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.State())
}

// State returns what the engine currently holds.
func (e *Engine) State() engineapi.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := engineapi.State{
		MemoryMB: e.memoryMB, HighestFence: e.highestFence, Role: e.role,
		Held: []engineapi.Held{}, Cached: map[string]string{},
	}
	if used := e.usedMemoryMB(); used < e.memoryMB {
		state.FreeMB = e.memoryMB - used
	}
	for _, r := range e.replicas {
		held := r.Held
		held.Adapters = slices.Clone(held.Adapters)
		state.Held = append(state.Held, held)
	}
	for _, checkpoint := range e.disk.checkpoints {
		state.Cached[checkpoint] = engineapi.CacheDisk
	}
	for _, checkpoint := range e.memory.checkpoints {
		state.Cached[checkpoint] = engineapi.CacheMemory
	}
	return state
}

// recordReport records the current load, which Report returns after the lag.
func (e *Engine) recordReport() {
	current := engineapi.LoadReport{Running: len(e.running), Waiting: len(e.waiting), Slots: e.slots}
	if n := len(e.reports); n > 0 && e.reports[n-1].report == current {
		return
	}
	e.reports = append(e.reports, reportVersion{since: time.Now(), report: current})
	e.pruneReports()
}

// pruneReports removes the reports that a newer visible one replaces, and the oldest ones above maxReports.
func (e *Engine) pruneReports() {
	cutoff := time.Now().Add(-e.reportLag)
	for len(e.reports) > 1 && (len(e.reports) > maxReports || !e.reports[1].since.After(cutoff)) {
		e.reports = e.reports[1:]
	}
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Report())
}

// Report returns the load of the engine with a delay of reportLag.
func (e *Engine) Report() engineapi.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pruneReports()
	report := engineapi.LoadReport{Slots: e.slots}
	if len(e.reports) > 0 && !e.reports[0].since.After(time.Now().Add(-e.reportLag)) {
		report = e.reports[0].report
	}
	report.AgeMS = e.reportLag.Milliseconds()
	return report
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	e.mu.Lock()
	events := e.prefixes.eventsAfter(after, time.Now().Add(-e.eventLag), e.eventGap)
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, events)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	prefix, _ := strconv.ParseUint(r.PathValue("prefix"), 10, 64)
	e.mu.Lock()
	model, cached := e.prefixes.modelOf(prefix)
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
		writeProblem(w, http.StatusBadRequest, CodeBadRequest, "prefix does not match the path")
		return
	}
	e.mu.Lock()
	e.prefixes.touch(kv.Model, kv.Prefix)
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
