package web

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"burdocksaddle/entry"
	"burdocksaddle/setting"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

// newTestCaller returns the caller API of an entry that isn't connected to any control member and rejects all requests.
func newTestCaller(keys map[string]string) *Caller {
	s := setting.Defaults()
	s.Controls = []string{"127.0.0.1:1"}
	s.Entry.MaxBodyBytes = 100
	e := entry.New(s, wire.NewPool())
	return NewCaller(e, s.Entry, keys, logr.Discard(), func() string { return "id" })
}

func TestMalformedRequests(t *testing.T) {
	tests := []struct {
		name, path, body string
		header           map[string]string
		status           int
		code             string
	}{
		{"not JSON", "/v1/chat/completions", "{", nil, 400, "BadRequest"},
		{"no model", "/v1/chat/completions", "{}", nil, 400, "BadRequest"},
		{"unknown model", "/v1/chat/completions", `{"model":"x"}`, nil, 404, "ModelNotExist"},
		{"unknown service", "/services/x/y", "", nil, 404, "ServiceNotExist"},
		{"too large", "/v1/chat/completions", strings.Repeat("x", 101), nil, 413, "BodyTooLarge"},
		{"deadline no number", "/services/x/y", "", map[string]string{HeaderDeadline: "soon"}, 400, "BadRequest"},
		{"deadline past", "/services/x/y", "", map[string]string{HeaderDeadline: "0"}, 400, "BadRequest"},
		{"key too long", "/services/x/y", "", map[string]string{HeaderKey: strings.Repeat("k", 201)}, 400, "BadRequest"},
		{"key not printable", "/services/x/y", "", map[string]string{HeaderKey: "k\x01"}, 400, "BadRequest"},
	}
	handler := newTestCaller(nil).Handler()
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			request := httptest.NewRequest(http.MethodPost, test.path, strings.NewReader(test.body))
			for name, value := range test.header {
				request.Header.Set(name, value)
			}
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			var got Problem
			if err := json.Unmarshal(recorder.Body.Bytes(), &got); err != nil {
				t.Fatal(err)
			}
			want := []any{test.status, test.status, test.code, "NotRun", problemType}
			if diff := cmp.Diff(want, []any{recorder.Code, got.Status, got.Code, got.Run, recorder.Header().Get("Content-Type")}); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestCallerKeys(t *testing.T) {
	handler := newTestCaller(map[string]string{"lin": "secret-1", "mahoe": "secret-2"}).Handler()
	for header, want := range map[string]int{
		"": 401, "Bearer ": 401, "Bearer secret": 401, "secret-1": 401, "Bearer secret-1": 200, "Bearer secret-2": 200,
	} {
		request := httptest.NewRequest(http.MethodGet, "/v1/models", nil)
		request.Header.Set("Authorization", header)
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		if diff := cmp.Diff(want, recorder.Code); diff != "" {
			t.Errorf("%q: %s", header, diff)
		}
	}
	name, _ := hashKeys(map[string]string{"lin": "k"}).caller(&http.Request{Header: http.Header{"Authorization": {"Bearer k"}}})
	if diff := cmp.Diff("lin", name); diff != "" {
		t.Error(diff)
	}
}

func TestBodiesAreBounded(t *testing.T) {
	var budget bodyBudget
	reserved := 0
	for budget.reserve(1 << 20) {
		reserved++
	}
	if diff := cmp.Diff(maxTotalBodyBytes>>20, reserved); diff != "" {
		t.Error(diff)
	}
}

// TestBodyMemoryIsReleased checks that the memory of every body, whether accepted or rejected, is returned to the budget.
func TestBodyMemoryIsReleased(t *testing.T) {
	c := newTestCaller(nil)
	for _, body := range []string{"{", `{"model":"x"}`, strings.Repeat("x", 101)} {
		c.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body)))
	}
	if reserved := c.bodies.reserved.Load(); reserved != 0 {
		t.Errorf("%d bytes still reserved", reserved)
	}
}

func TestRefusalHasRunAndRetryAfter(t *testing.T) {
	recorder := httptest.NewRecorder()
	c := newTestCaller(nil)
	c.writeRefusal(recorder, entry.Request{ID: "id"}, entry.ErrRefused{Code: entry.CodeQueueFull, Run: wirepb.Run_RUN_NOT_RUN, RetryAfter: 1500 * time.Millisecond})
	want := []any{http.StatusTooManyRequests, "2"}
	if diff := cmp.Diff(want, []any{recorder.Code, recorder.Header().Get("Retry-After")}); diff != "" {
		t.Error(diff)
	}
	if !strings.Contains(recorder.Body.String(), `"Run":"NotRun"`) {
		t.Error(recorder.Body.String())
	}
}

// TestTruncatedBodyIsRejected closes the connection in the middle of a body; the request must be rejected with 400.
func TestTruncatedBodyIsRejected(t *testing.T) {
	c := newTestCaller(nil)
	server := httptest.NewServer(c.Handler())
	defer server.Close()
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nhalf")
	_ = conn.(*net.TCPConn).CloseWrite()
	answer, _ := io.ReadAll(conn)
	_ = conn.Close()
	if !strings.HasPrefix(string(answer), "HTTP/1.1 400") {
		t.Errorf("got %q", answer)
	}
}
