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
	// bodyTimeout limits the time in which a caller must send its request body.
	bodyTimeout = 20 * time.Second
	// maxTotalBodyBytes limits the total size of the bodies of all open requests.
	maxTotalBodyBytes = 256 << 20
	bodiesRetryAfter  = 2 * time.Second
)

// bodyBudget limits the total memory used for request bodies, by itself and by what the process may hold for its clients.
type bodyBudget struct {
	reserved atomic.Int64
	// take and giveBack count the bytes elsewhere, too, if they are set.
	take     func(bytes int) bool
	giveBack func(bytes int)
}

func (b *bodyBudget) reserve(bytes int64) bool {
	if b.reserved.Add(bytes) > maxTotalBodyBytes || b.take != nil && !b.take(int(bytes)) {
		b.reserved.Add(-bytes)
		return false
	}
	return true
}

func (b *bodyBudget) release(bytes int64) {
	b.reserved.Add(-bytes)
	if b.giveBack != nil {
		b.giveBack(int(bytes))
	}
}

// parseRequest parses the headers that are common to all requests and then reads the body. release must be called
// to return the body's memory to the budget.
func (c *Caller) parseRequest(w http.ResponseWriter, r *http.Request) (request entry.Request, release func(), problem *Problem) {
	begin := time.Now()
	id := c.newID()
	w.Header().Set(HeaderRequestID, id)
	if !c.entry.Ready() {
		// Close the load balancer's keep-alive connections, so that it sends new requests elsewhere.
		w.Header().Set("Connection", "close")
	}
	release = func() {}
	caller, ok := c.keys.caller(r)
	if !ok {
		p := unauthorized(w)
		return request, release, &p
	}
	request = entry.Request{ID: id, Caller: caller, Method: r.Method, ContentType: r.Header.Get("Content-Type"), IdempotencyKey: r.Header.Get(HeaderKey)}
	if len(c.keys) > 0 {
		request.KeyScope = caller
	}
	if len(request.IdempotencyKey) > maxKeyBytes || strings.ContainsFunc(request.IdempotencyKey, func(char rune) bool { return char < ' ' || char > '~' }) {
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
	request.Body, release, problem = c.readBody(w, r)
	return request, release, problem
}

// readBody reads the request body within the time and memory limits.
func (c *Caller) readBody(w http.ResponseWriter, r *http.Request) ([]byte, func(), *Problem) {
	size := c.settings.MaxBodyBytes
	if r.ContentLength >= 0 {
		size = min(size, r.ContentLength)
	}
	if !c.bodies.reserve(size) {
		return nil, func() {}, &Problem{
			Type: "about:blank", Title: http.StatusText(http.StatusServiceUnavailable), Status: http.StatusServiceUnavailable,
			Code: entry.CodeQueueFull, Run: "NotRun", Detail: "too many bodies are held; come back later", retryAfter: bodiesRetryAfter,
		}
	}
	release := func() { c.bodies.release(size) }
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, c.settings.MaxBodyBytes))
	_ = controller.SetReadDeadline(time.Time{})
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

// escapedPath returns the path after the service's name, with the caller's escaping.
func escapedPath(r *http.Request, service string) string {
	return strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+service)
}
