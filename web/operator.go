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

// Limits of one request to the operator API.
const (
	maxChangeBytes = 16 << 20
	maxWait        = time.Minute
	readTimeout    = 2 * time.Second
	changeTimeout  = 10 * time.Second
)

// Operator implements the operator API.
type Operator struct {
	member *control.Member
	guard  Guard
}

// NewOperator returns the operator API of a control member, protected by a guard.
func NewOperator(member *control.Member, guard Guard) *Operator {
	return &Operator{member: member, guard: guard}
}

// Register registers the routes of the operator API.
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

// requireCurrent confirms with the quorum that the member's state includes all changes accepted before this call, and reports
// whether it could. If the quorum can't be reached, it writes a problem.
func (o *Operator) requireCurrent(w http.ResponseWriter, r *http.Request) bool {
	ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	if err := o.member.WaitForProof(ctx); err != nil {
		writeProblem(w, Problem{Type: "about:blank", Title: "Service Unavailable", Status: http.StatusServiceUnavailable, Code: "NoQuorum", Detail: err.Error()}, time.Second)
		return false
	}
	return true
}

func (o *Operator) catalog(w http.ResponseWriter, r *http.Request, _ string) {
	if !o.requireCurrent(w, r) {
		return
	}
	latest := o.member.Catalog()
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(latest.Version, 10)))
	writeJSON(w, latest)
}

func (o *Operator) change(w http.ResponseWriter, r *http.Request, operator string) {
	var change catalog.Change
	if o.decodeBody(w, r, &change) {
		o.apply(w, r, operator, change)
	}
}

func (o *Operator) preset(w http.ResponseWriter, r *http.Request, operator string) {
	var body operatorapi.PresetChange
	if o.decodeBody(w, r, &body) {
		o.apply(w, r, operator, catalog.Change{Preset: body.Preset})
	}
}

func (o *Operator) rollback(w http.ResponseWriter, r *http.Request, operator string) {
	var body operatorapi.Rollback
	if !o.decodeBody(w, r, &body) || !o.requireCurrent(w, r) {
		return
	}
	old, ok := o.member.CatalogAt(body.Version)
	if !ok {
		writeProblem(w, Problem{Type: "about:blank", Title: "Not Found", Status: http.StatusNotFound, Code: "VersionNotExist", Detail: "the history has no version " + strconv.FormatUint(body.Version, 10)}, 0)
		return
	}
	o.apply(w, r, operator, catalog.Change{Set: &old})
}

func (o *Operator) decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
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
	result, err := o.member.ChangeCatalog(ctx, operator, operation, base, change)
	if err != nil {
		writeProblem(w, notCommittedProblem(err), time.Second)
		return
	}
	if result.GetErrorCode() != "" {
		writeProblem(w, changeProblem(result), 0)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(result.GetCatalogVersion(), 10)))
	writeJSON(w, operatorapi.Accepted{Version: result.GetCatalogVersion()})
}

// notCommittedProblem returns the problem for a change that was not confirmed. Its code tells whether the change was
// certainly not accepted; otherwise a resend with the same operation ID returns the outcome.
func notCommittedProblem(err error) Problem {
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
	writeJSON(w, o.member.WaitInForce(ctx, version))
}

type historyEntry struct {
	Version     uint64
	Operator    string
	OperationID string
	At          time.Time
	Preset      string
}

func (o *Operator) history(w http.ResponseWriter, r *http.Request, _ string) {
	if !o.requireCurrent(w, r) {
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
	if !o.requireCurrent(w, r) {
		return
	}
	a, okA := o.member.CatalogAt(from)
	b, okB := o.member.CatalogAt(to)
	if (!okA && from != 0) || !okB {
		writeProblem(w, Problem{Type: "about:blank", Title: "Not Found", Status: http.StatusNotFound, Code: "VersionNotExist"}, 0)
		return
	}
	writeJSON(w, catalog.Diff(a, b))
}
