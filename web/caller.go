package web

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-logr/logr"

	"burdocksaddle/catalog"
	"burdocksaddle/engineapi"
	"burdocksaddle/entry"
	"burdocksaddle/setting"
)

// HTTP headers and limits of the caller API.
const (
	HeaderDeadline  = "Deadline-Ms"
	HeaderKey       = "Idempotency-Key"
	HeaderPriority  = "Priority"
	HeaderRequestID = "X-Request-Id"
	// writeGrace is how long after a request's deadline its response may still be written.
	writeGrace        = 2 * time.Second
	defaultUrgency    = 3
	lowestUrgency     = 7
	maxKeyBytes       = 200
	defaultBodyBytes  = 4 << 20
	defaultDeadlineMS = 120_000
	maxDeadlineMS     = 600_000
)

// Caller implements the caller API.
type Caller struct {
	entry    *entry.Entry
	settings setting.Entry
	log      logr.Logger
	newID    func() string
	keys     callerKeys
	bodies   bodyBudget
}

// CallerOption configures a Caller.
type CallerOption func(*Caller)

// WithMemory sets the functions that count the bytes of bodies: take reports whether there is room.
func WithMemory(take func(bytes int) bool, giveBack func(bytes int)) CallerOption {
	return func(c *Caller) { c.bodies.take, c.bodies.giveBack = take, giveBack }
}

// NewCaller returns the caller API of an entry. keys maps a caller's name to its
// key; if it is empty, requests need no key. newID generates request IDs.
func NewCaller(e *entry.Entry, settings setting.Entry, keys map[string]string, log logr.Logger, newID func() string, options ...CallerOption) *Caller {
	if settings.MaxBodyBytes == 0 {
		settings.MaxBodyBytes = defaultBodyBytes
	}
	if settings.DefaultDeadlineMS == 0 {
		settings.DefaultDeadlineMS = defaultDeadlineMS
	}
	if settings.MaxDeadlineMS == 0 {
		settings.MaxDeadlineMS = maxDeadlineMS
	}
	c := &Caller{entry: e, settings: settings, log: log, newID: newID, keys: hashKeys(keys)}
	for _, option := range options {
		option(c)
	}
	return c
}

// Handler returns a handler with the routes of the caller API.
func (c *Caller) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engineapi.PathCompletions, c.complete)
	mux.HandleFunc("GET /v1/models", c.models)
	mux.HandleFunc("/services/{service}/{path...}", c.service)
	mux.HandleFunc("GET /healthz", c.health)
	return mux
}

func (c *Caller) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Cache-Control", "no-store")
	if !c.entry.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (c *Caller) models(w http.ResponseWriter, r *http.Request) {
	if _, ok := c.keys.caller(r); !ok {
		writeProblem(w, unauthorized(w), 0)
		return
	}
	latest := c.entry.Catalog()
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range latest.Models {
		list.Data = append(list.Data, modelEntry{ID: model.Name, Object: "model", OwnedBy: model.Service})
	}
	for _, adapter := range latest.Adapters {
		list.Data = append(list.Data, modelEntry{ID: adapter.Name, Object: "model", OwnedBy: adapter.Model})
	}
	writeJSON(w, list)
}

// completion holds the fields of a chat request's body that the entry uses.
type completion struct {
	Model    string            `json:"model"`
	Stream   bool              `json:"stream"`
	Messages []json.RawMessage `json:"messages"`
}

// promptPrefix returns the number under which engines cache the prompt's first message, or 0 if there is none or it isn't
// plain text.
func (c completion) promptPrefix() uint64 {
	var first engineapi.ChatMessage
	if len(c.Messages) == 0 || json.Unmarshal(c.Messages[0], &first) != nil {
		return 0
	}
	return engineapi.PrefixHash(c.Model, []engineapi.ChatMessage{first})
}

func (c *Caller) complete(w http.ResponseWriter, r *http.Request) {
	request, release, problem := c.parseRequest(w, r)
	defer release()
	if problem != nil {
		writeProblem(w, *problem, problem.retryAfter)
		return
	}
	var body completion
	if err := json.Unmarshal(request.Body, &body); err != nil || body.Model == "" {
		writeProblem(w, badRequest("the body must be JSON with a member model"), 0)
		return
	}
	if err := resolveModel(c.entry.Catalog(), body.Model, &request); err != nil {
		c.writeRefusal(w, request, err)
		return
	}
	request.Path, request.Stream, request.Repeatable = engineapi.PathCompletions, body.Stream, true
	request.PromptPrefix = body.promptPrefix()
	c.serve(w, r, request)
}

// resolveModel sets the model, or the adapter and its base model, that a caller requested by name.
func resolveModel(latest catalog.Catalog, name string, request *entry.Request) error {
	model, ok := latest.Model(name)
	if adapter, isAdapter := latest.Adapter(name); !ok && isAdapter {
		request.Adapter = adapter.Name
		model, ok = latest.Model(adapter.Model)
	}
	if !ok {
		return entry.ErrRefused{Code: entry.CodeModelNotExist, Detail: "no model or adapter is named " + strconv.Quote(name)}
	}
	request.Model, request.Service = model.Name, model.Service
	return nil
}

func (c *Caller) service(w http.ResponseWriter, r *http.Request) {
	request, release, problem := c.parseRequest(w, r)
	defer release()
	if problem != nil {
		writeProblem(w, *problem, problem.retryAfter)
		return
	}
	service, ok := c.entry.Catalog().Service(r.PathValue("service"))
	if !ok || service.Kind != catalog.KindPlain {
		c.writeRefusal(w, request, entry.ErrRefused{Code: entry.CodeServiceNotExist, Detail: "no plain service is named " + strconv.Quote(r.PathValue("service"))})
		return
	}
	request.Service = service.Name
	request.Path = "/" + r.PathValue("path")
	request.Repeatable = service.Repeatable(r.Method, request.Path)
	request.Path = escapedPath(r, service.Name)
	if r.URL.RawQuery != "" {
		request.Path += "?" + r.URL.RawQuery
	}
	request.KeyFromCaller = request.IdempotencyKey != ""
	if !request.Repeatable && !request.KeyFromCaller {
		request.IdempotencyKey = request.ID
	}
	c.serve(w, r, request)
}

func (c *Caller) deadline(header string) (time.Duration, error) {
	ms := c.settings.DefaultDeadlineMS
	if header != "" {
		requested, err := strconv.ParseInt(header, 10, 64)
		if err != nil || requested <= 0 {
			return 0, strconv.ErrSyntax
		}
		ms = min(requested, c.settings.MaxDeadlineMS)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// urgency returns the urgency parameter u of an RFC 9218 Priority header.
func urgency(header string) int {
	for part := range strings.SplitSeq(header, ",") {
		if value, ok := strings.CutPrefix(strings.TrimSpace(part), "u="); ok {
			if u, err := strconv.Atoi(value); err == nil && u >= 0 && u <= lowestUrgency {
				return u
			}
		}
	}
	return defaultUrgency
}

func (c *Caller) serve(w http.ResponseWriter, r *http.Request, request entry.Request) {
	begin := time.Now()
	controller := http.NewResponseController(w)
	// A caller that reads slowly can keep its request open until this write deadline at most.
	_ = controller.SetWriteDeadline(request.Deadline.Add(writeGrace))
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	started := false
	sink := entry.Sink{
		Start: func(status int, contentType string) error {
			started = true
			w.Header().Set("Content-Type", contentType)
			w.WriteHeader(status)
			return nil
		},
		Chunk: func(data []byte) error {
			if _, err := w.Write(data); err != nil {
				return err
			}
			return controller.Flush()
		},
	}
	err := c.entry.Serve(r.Context(), request, sink)
	c.log.Info("request answered", "request", request.ID, "caller", request.Caller, "service", request.Service,
		"model", request.Model, "ms", time.Since(begin).Milliseconds(), "error", errorCode(err))
	if err == nil {
		return
	}
	if !started {
		c.writeRefusal(w, request, err)
		return
	}
	c.abort(w, request, err)
}

// abort aborts a response that has already started. Streams end with an error event, so that the caller can tell that the
// response is incomplete.
func (c *Caller) abort(w http.ResponseWriter, request entry.Request, err error) {
	if refused, ok := entry.AsErrRefused(err); ok && request.Stream {
		var event bytes.Buffer
		event.WriteString("event: error\ndata: ")
		_ = json.NewEncoder(&event).Encode(refusalProblem(refused, request.ID))
		event.WriteString("\n")
		_, _ = w.Write(event.Bytes())
		_ = http.NewResponseController(w).Flush()
	}
	panic(http.ErrAbortHandler)
}

func (c *Caller) writeRefusal(w http.ResponseWriter, request entry.Request, err error) {
	refused, ok := entry.AsErrRefused(err)
	if !ok {
		refused = entry.ErrRefused{Code: "Internal", Detail: err.Error()}
	}
	writeProblem(w, refusalProblem(refused, request.ID), refused.RetryAfter)
}

func errorCode(err error) string {
	if refused, ok := entry.AsErrRefused(err); ok {
		return refused.Code
	}
	if err != nil {
		return err.Error()
	}
	return ""
}
