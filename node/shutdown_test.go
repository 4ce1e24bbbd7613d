package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/operatorapi"
	"burdocksaddle/setting"
)

// response is what a caller gets; Status is 0 if the connection ended without a whole response.
type response struct {
	Status    int
	Code, Run string
}

func readResponse(c net.Conn) (response, []byte) {
	received, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return response{}, nil
	}
	defer func() { _ = received.Body.Close() }()
	body, err := io.ReadAll(received.Body)
	if err != nil {
		return response{}, nil
	}
	got := response{Status: received.StatusCode}
	if got.Status >= http.StatusBadRequest {
		_ = json.Unmarshal(body, &got)
		got.Status = received.StatusCode
	}
	return got, body
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return c
}

func booking(key string) string {
	return fmt.Sprintf("POST /services/desk/bookings HTTP/1.1\r\nHost: a.example\r\nIdempotency-Key: %s\r\nContent-Length: 1\r\n\r\nx", key)
}

// TestRequestThatArrivesWhileEntryStopsIsAnswered has requests arrive in two parts, before and after the entry stops its server.
func TestRequestThatArrivesWhileEntryStopsIsAnswered(t *testing.T) {
	const conns = 40
	s := startNode(t, 0, 0)
	clients := make([]net.Conn, conns)
	for n := range clients {
		clients[n] = dial(t, strings.TrimPrefix(s.base, "http://"))
		if n%2 == 0 { // the others have not been used before
			_, _ = io.WriteString(clients[n], booking("first-"+strconv.Itoa(n)))
			if got, _ := readResponse(clients[n]); got.Status != http.StatusOK {
				t.Fatalf("%+v before the stop", got)
			}
		}
		_, _ = io.WriteString(clients[n], booking("late-" + strconv.Itoa(n))[:20+n])
	}
	time.Sleep(50 * time.Millisecond)
	s.stop()
	var mu sync.Mutex
	var ended sync.WaitGroup
	answers := map[response]int{}
	for n, c := range clients {
		ended.Go(func() {
			time.Sleep(lingerTime + time.Duration(n)*leaveNoticeTime/(conns/2)) // until after the end of the shutdown without requests
			_, _ = io.WriteString(c, booking("late-" + strconv.Itoa(n))[20+n:])
			got, _ := readResponse(c)
			mu.Lock()
			defer mu.Unlock()
			answers[got]++
		})
	}
	ended.Wait()
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
	t.Log(answers)
	served, refused := answers[response{Status: http.StatusOK}], answers[response{http.StatusServiceUnavailable, "Stopping", "NotRun"}]
	if served+refused != conns || refused == 0 {
		t.Errorf("%v, want %d answers", answers, conns)
	}
}

// TestRunningRequestIsAnsweredAtEndOfDrain has a request run for longer than a stopping entry waits.
func TestRunningRequestIsAnsweredAtEndOfDrain(t *testing.T) {
	s := startNode(t, 4*time.Second, 0, func(s *setting.Settings) { s.Entry.DrainMS = 300 })
	c := dial(t, strings.TrimPrefix(s.base, "http://"))
	_, _ = io.WriteString(c, booking("stuck"))
	waitUntil(t, func() bool { return s.service.Runs()["stuck"] == 1 })
	s.stop()
	got, _ := readResponse(c)
	if diff := cmp.Diff(response{http.StatusBadGateway, "Stopped", "Unknown"}, got); diff != "" {
		t.Error(diff)
	}
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
}

// TestOperatorThatWaitsIsAnsweredWhenControlStops has an operator wait for a version that does not come.
func TestOperatorThatWaitsIsAnsweredWhenControlStops(t *testing.T) {
	operator, token := freeAddress(t), filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte("secret"), 0o600); err != nil {
		t.Fatal(err)
	}
	s := startNode(t, 0, 0, func(s *setting.Settings) {
		s.Operator.Listen, s.Operator.TokenFiles = operator, map[string]string{"ann": token}
	})
	c := dial(t, operator)
	_, _ = fmt.Fprintf(c, "GET %s?%s=99&%s=10000 HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer secret\r\n\r\n", operatorapi.PathWait, operatorapi.QueryVersion, operatorapi.QueryTimeoutMS)
	time.Sleep(100 * time.Millisecond)
	s.stop()
	got, body := readResponse(c)
	if got.Status != http.StatusOK || !strings.Contains(string(body), `"InForce":false`) {
		t.Errorf("%+v %s", got, body)
	}
	if err := <-s.ended; err != nil {
		t.Error(err)
	}
}
