package web

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"burdocksaddle/catalog"
	"burdocksaddle/control"
	"burdocksaddle/operatorapi"
	"burdocksaddle/wirepb"
)

// Bounds of one call by an operator.
const (
	maxChangeBytes = 16 << 20
	maxWait        = time.Minute
	readTimeout    = 2 * time.Second
	changeTimeout  = 10 * time.Second
)

// Operator is the operators' API.
type Operator struct {
	member *control.Member
	guard  Guard
}

// NewOperator makes the operators' API behind a guard.
func NewOperator(member *control.Member, guard Guard) *Operator {
	return &Operator{member: member, guard: guard}
}

// Register adds the routes of the operators' API.
func (o *Operator) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+operatorapi.PathCatalog, o.guard.protect(o.catalog))
	mux.HandleFunc("POST "+operatorapi.PathChanges, o.guard.protect(o.change))
	mux.HandleFunc("POST "+operatorapi.PathPreset, o.guard.protect(o.preset))
	mux.HandleFunc("POST "+operatorapi.PathRollback, o.guard.protect(o.rollback))
	mux.HandleFunc("GET "+operatorapi.PathMembers, o.guard.protect(o.members))
	mux.HandleFunc("GET "+operatorapi.PathWait, o.guard.protect(o.wait))
	mux.HandleFunc("GET "+operatorapi.PathHistory, o.guard.protect(o.history))
	mux.HandleFunc("GET "+operatorapi.PathDiff, o.guard.protect(o.diff))
}

// current makes sure that what is read next holds all that was accepted before, or refuses.
func (o *Operator) current(w http.ResponseWriter, r *http.Request) bool {
	ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	if err := o.member.Current(ctx); err != nil {
		writeProblem(w, Problem{Type: "about:blank", Title: "Service Unavailable", Status: http.StatusServiceUnavailable, Code: "NoQuorum", Detail: err.Error()}, time.Second)
		return false
	}
	return true
}

func (o *Operator) catalog(w http.ResponseWriter, r *http.Request, _ string) {
	if !o.current(w, r) {
		return
	}
	now := o.member.Catalog()
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(now.Version, 10)))
	writeJSON(w, now)
}

func (o *Operator) change(w http.ResponseWriter, r *http.Request, operator string) {
	var change catalog.Change
	if o.read(w, r, &change) {
		o.apply(w, r, operator, change)
	}
}

func (o *Operator) preset(w http.ResponseWriter, r *http.Request, operator string) {
	var body operatorapi.PresetChange
	if o.read(w, r, &body) {
		o.apply(w, r, operator, catalog.Change{Preset: body.Preset})
	}
}

func (o *Operator) rollback(w http.ResponseWriter, r *http.Request, operator string) {
	var body operatorapi.Rollback
	if !o.read(w, r, &body) || !o.current(w, r) {
		return
	}
	old, ok := o.member.At(body.Version)
	if !ok {
		writeProblem(w, Problem{Type: "about:blank", Title: "Not Found", Status: http.StatusNotFound, Code: "VersionNotExist", Detail: "the history has no version " + strconv.FormatUint(body.Version, 10)}, 0)
		return
	}
	o.apply(w, r, operator, catalog.Change{Set: &old})
}

func (o *Operator) read(w http.ResponseWriter, r *http.Request, into any) bool {
	decoder := json.NewDecoder(io.LimitReader(r.Body, maxChangeBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		writeProblem(w, badRequest(err.Error()), 0)
		return false
	}
	return true
}

func (o *Operator) apply(w http.ResponseWriter, r *http.Request, operator string, change catalog.Change) {
	operation := r.Header.Get(operatorapi.HeaderOperationID)
	base, err := strconv.ParseUint(strings.Trim(r.Header.Get(operatorapi.HeaderIfMatch), `"`), 10, 64)
	if operation == "" || err != nil {
		writeProblem(w, badRequest("a change needs the headers Operation-Id and If-Match with the version it is based on"), 0)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	result, err := o.member.Change(ctx, operator, operation, base, change)
	if err != nil {
		writeProblem(w, notCommitted(err), time.Second)
		return
	}
	if result.GetErrorCode() != "" {
		writeProblem(w, changeProblem(result), 0)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(result.GetCatalogVersion(), 10)))
	writeJSON(w, operatorapi.Accepted{Version: result.GetCatalogVersion()})
}

// notCommitted says whether a change is certainly not accepted; if it may be, a resend under the same
// operation id tells.
func notCommitted(err error) Problem {
	code := "OutcomeUnknown"
	if failed, ok := control.AsErrNotCommitted(err); ok && failed.Never {
		code = "NotCommitted"
	}
	return Problem{Type: "about:blank", Title: "Service Unavailable", Status: http.StatusServiceUnavailable, Code: code, Detail: err.Error()}
}

func changeProblem(result *wirepb.CommandResult) Problem {
	status := http.StatusUnprocessableEntity
	if result.GetErrorCode() == control.CodeVersionConflict {
		status = http.StatusPreconditionFailed
	}
	return Problem{
		Type: "about:blank", Title: http.StatusText(status), Status: status, Code: result.GetErrorCode(),
		Detail: result.GetErrorDetail(), CurrentVersion: result.GetCatalogVersion(), Holder: result.GetHolder(),
	}
}

func (o *Operator) members(w http.ResponseWriter, r *http.Request, _ string) {
	writeJSON(w, o.member.Members(r.Context()))
}

func (o *Operator) wait(w http.ResponseWriter, r *http.Request, _ string) {
	version, err := strconv.ParseUint(r.URL.Query().Get(operatorapi.QueryVersion), 10, 64)
	if err != nil {
		writeProblem(w, badRequest("version must be a number"), 0)
		return
	}
	timeout := maxWait
	if ms, err := strconv.ParseInt(r.URL.Query().Get(operatorapi.QueryTimeoutMS), 10, 64); err == nil && ms >= 0 {
		timeout = min(maxWait, time.Duration(ms)*time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	writeJSON(w, o.member.Wait(ctx, version))
}

type historyEntry struct {
	Version     uint64
	Operator    string
	OperationID string
	At          time.Time
	Preset      string
}

func (o *Operator) history(w http.ResponseWriter, r *http.Request, _ string) {
	if !o.current(w, r) {
		return
	}
	entries := []historyEntry{}
	for _, c := range o.member.History() {
		entries = append(entries, historyEntry{Version: c.Version, Operator: c.Operator, OperationID: c.OperationID, At: time.UnixMilli(c.AtMS).UTC(), Preset: c.Preset})
	}
	writeJSON(w, entries)
}

func (o *Operator) diff(w http.ResponseWriter, r *http.Request, _ string) {
	from, errFrom := strconv.ParseUint(r.URL.Query().Get(operatorapi.QueryFrom), 10, 64)
	to, errTo := strconv.ParseUint(r.URL.Query().Get(operatorapi.QueryTo), 10, 64)
	if errFrom != nil || errTo != nil {
		writeProblem(w, badRequest("from and to must be versions"), 0)
		return
	}
	if !o.current(w, r) {
		return
	}
	a, okA := o.member.At(from)
	b, okB := o.member.At(to)
	if (!okA && from != 0) || !okB {
		writeProblem(w, Problem{Type: "about:blank", Title: "Not Found", Status: http.StatusNotFound, Code: "VersionNotExist"}, 0)
		return
	}
	writeJSON(w, catalog.Diff(a, b))
}
