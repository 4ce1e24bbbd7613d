package intake

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

const (
	// RetryAfter is when a client that is refused for lack of room may come back.
	RetryAfter = 50 * time.Millisecond
	// refuseTimeout is how long the client of a refused head is given to read the response, maxDiscardedBytes how much more is read of it.
	refuseTimeout     = 500 * time.Millisecond
	maxDiscardedBytes = 256 << 10
)

// ErrRefused reports a request that was answered before its head had been read.
type ErrRefused struct{ Status int }

// Error implements error.
func (e ErrRefused) Error() string {
	return "the request was refused with status " + strconv.Itoa(e.Status)
}

// refusal is a response to a request that is not handled.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration
	text       string
}

var (
	refuseWithoutMemory = refusal{http.StatusServiceUnavailable, "Memory", RetryAfter, "there is no memory left for the request"}
	refuseLongHead      = refusal{http.StatusRequestHeaderFieldsTooLarge, "LongHead", 0, "the head of the request is too long"}
)

// response returns the refusal as it is sent without net/http.
func (r refusal) response() string {
	after := ""
	if r.retryAfter > 0 {
		after = "Retry-After: " + formatSeconds(r.retryAfter) + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%sContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s\n",
		r.status, http.StatusText(r.status), after, len(r.text)+1, r.text)
}

// write sends the refusal as the response of a handler, after which the connection closes.
func (r refusal) write(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	if r.retryAfter > 0 {
		w.Header().Set("Retry-After", formatSeconds(r.retryAfter))
	}
	http.Error(w, r.text, r.status)
}

func formatSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 3, 64) }
