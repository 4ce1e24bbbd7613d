package web

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"burdocksaddle/entry"
)

const (
	// bodyTimeout is how long a caller may take to send its body.
	bodyTimeout = 20 * time.Second
	// maxBodiesBytes bounds the bodies of all open requests.
	maxBodiesBytes = 256 << 20
	bodiesAgain    = 2 * time.Second
)

// bodyBudget bounds the memory that callers' bodies take.
type bodyBudget struct{ held atomic.Int64 }

func (b *bodyBudget) take(bytes int64) bool {
	if b.held.Add(bytes) > maxBodiesBytes {
		b.held.Add(-bytes)
		return false
	}
	return true
}

// parse reads what every request has in common, the body last; release gives the body's memory back.
func (c *Caller) parse(w http.ResponseWriter, r *http.Request) (request entry.Request, release func(), problem *Problem) {
	begin := time.Now()
	id := c.newID()
	w.Header().Set(HeaderRequestID, id)
	if !c.entry.Ready() {
		// The balancer's kept connections shall end, so that it turns away.
		w.Header().Set("Connection", "close")
	}
	release = func() {}
	caller, ok := c.keys.caller(r)
	if !ok {
		p := unauthorized(w)
		return request, release, &p
	}
	request = entry.Request{ID: id, Caller: caller, Method: r.Method, ContentType: r.Header.Get("Content-Type"), Key: r.Header.Get(HeaderKey)}
	if len(c.keys) > 0 {
		request.Scope = caller
	}
	if len(request.Key) > maxKeyBytes || strings.ContainsFunc(request.Key, func(one rune) bool { return one < ' ' || one > '~' }) {
		p := badRequest("Idempotency-Key may have at most " + strconv.Itoa(maxKeyBytes) + " printable ASCII characters")
		return request, release, &p
	}
	deadline, err := c.deadline(r.Header.Get(HeaderDeadline))
	if err != nil {
		p := badRequest("Deadline-Ms must be a positive number of milliseconds")
		return request, release, &p
	}
	request.Deadline = begin.Add(deadline)
	request.Urgency = urgency(r.Header.Get(HeaderPriority))
	request.Body, release, problem = c.body(w, r)
	return request, release, problem
}

// body reads a body within the time and the memory that callers may take.
func (c *Caller) body(w http.ResponseWriter, r *http.Request) ([]byte, func(), *Problem) {
	size := c.settings.MaxBodyBytes
	if r.ContentLength >= 0 {
		size = min(size, r.ContentLength)
	}
	if !c.bodies.take(size) {
		return nil, func() {}, &Problem{
			Type: "about:blank", Title: http.StatusText(http.StatusServiceUnavailable), Status: http.StatusServiceUnavailable,
			Code: entry.CodeQueueFull, Run: "NotRun", Detail: "too many bodies are held; come back later", again: bodiesAgain,
		}
	}
	release := func() { c.bodies.held.Add(-size) }
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, c.settings.MaxBodyBytes))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, release, &Problem{
			Type: "about:blank", Title: "Content Too Large", Status: http.StatusRequestEntityTooLarge, Code: "BodyTooLarge",
			Run: "NotRun", Detail: "a body may have at most " + strconv.FormatInt(c.settings.MaxBodyBytes, 10) + " bytes",
		}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, release, &Problem{
			Type: "about:blank", Title: http.StatusText(http.StatusRequestTimeout), Status: http.StatusRequestTimeout,
			Code: "BodyTooSlow", Run: "NotRun", Detail: "the body did not come within " + bodyTimeout.String(),
		}
	case err != nil:
		p := badRequest("the body could not be read whole")
		return nil, release, &p
	}
	return body, release, nil
}

// escapedPath is what follows the service's name, as the caller wrote it.
func escapedPath(r *http.Request, service string) string {
	return strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+service)
}
