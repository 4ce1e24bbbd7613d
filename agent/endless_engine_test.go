package agent

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"burdocksaddle/engineapi"
	"burdocksaddle/setting"
	"burdocksaddle/wire"
)

// startEndlessEngine starts an engine that sends a text and then another one again and again until the connection is closed. It counts the
// bytes that it has sent.
func startEndlessEngine(t *testing.T, begin, repeated string) (url string, sent *atomic.Int64) {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	sent = &atomic.Int64{}
	block := strings.Repeat(repeated, max(1, 32<<10/len(repeated)))
	go func() {
		for c, err := listener.Accept(); err == nil; c, err = listener.Accept() {
			go func() {
				defer func() { _ = c.Close() }()
				_, err := io.WriteString(c, begin)
				for err == nil {
					_, err = io.WriteString(c, block)
					sent.Add(int64(len(block)))
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String(), sent
}

// TestEngineResponseWithStatusZero guards against an agent that takes a response without a valid status for one, which doJSON would count as success.
func TestEngineResponseWithStatusZero(t *testing.T) {
	url, _ := startEndlessEngine(t, "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\n{}", " ")
	s := setting.Defaults()
	s.Agent.EndpointURL = url
	a := New(s, wire.NewPool(), "p")
	for _, client := range []*http.Client{a.http, a.singleUseHTTP} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(request)
		if err == nil {
			_ = response.Body.Close()
			t.Errorf("a response with status %q", response.Status)
		}
	}
	if err := a.doJSON(t.Context(), http.MethodPost, url, nil, nil); err == nil {
		t.Error("a call that got status 000 counts as successful")
	}
}

// TestEngineResponseWithoutEnd guards against an agent that keeps what is no response: of heads it reads little, of an event up to its limit.
func TestEngineResponseWithoutEnd(t *testing.T) {
	const underWay, mebibytes = 8, 1 << 20
	for name, test := range map[string]struct {
		begin, repeated string
		// most is how much may be read, besides what is under way.
		most int64
	}{
		"header line": {"HTTP/1.1 200 OK\r\nX-Long: ", "a", 1}, "header lines": {"HTTP/1.1 200 OK\r\n", "X-Some: a\r\n", 1},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\n\r\n", 1}, "event": {"HTTP/1.1 200 OK\r\n\r\n", "a", maxEventBytes / mebibytes},
	} {
		t.Run(name, func(t *testing.T) {
			url, sent := startEndlessEngine(t, test.begin, test.repeated)
			s := setting.Defaults()
			s.Agent.EndpointURL = url
			a := New(s, wire.NewPool(), "p")
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
			if err != nil {
				t.Fatal(err)
			}
			for _, client := range []*http.Client{a.http, a.singleUseHTTP} {
				sent.Store(0)
				response, err := client.Do(request)
				if err == nil {
					_, err = readEvent(bufio.NewReader(response.Body))
					_ = response.Body.Close()
				}
				if read := sent.Load() / mebibytes; err == nil || read > test.most+underWay {
					t.Errorf("%v, %d MB were sent", err, read)
				}
			}
		})
	}
}

// TestEngineListOfCountlessValues guards against cache events that are decoded to many times their size.
func TestEngineListOfCountlessValues(t *testing.T) {
	const mostMemory = 64 << 20
	body := "[{}" + strings.Repeat(",{}", 2_600_000) + "]"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
	defer server.Close()
	s := setting.Defaults()
	s.Agent.EndpointURL = server.URL
	a := New(s, wire.NewPool(), "p")
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	var events []engineapi.CacheEvent
	err := a.getEngine(t.Context(), engineapi.PathEvents, &events)
	runtime.ReadMemStats(&after)
	var tooMany ErrTooManyValues
	if allocated := after.TotalAlloc - before.TotalAlloc; !errors.As(err, &tooMany) || allocated > mostMemory {
		t.Errorf("%d events, %v, %d MB were allocated", len(events), err, allocated>>20)
	}
}
