package e2e

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"burdocksaddle/platform/standin"
)

// clockTick is the kernel's unit of processor time in /proc.
const clockTick = 10 * time.Millisecond

// used returns a process's memory in KB and its processor time so far.
func (p *process) used(t *testing.T) (kilobytes float64, cpu time.Duration) {
	t.Helper()
	folder := "/proc/" + strconv.Itoa(p.command.Process.Pid)
	status, err := os.ReadFile(folder + "/status")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ = strconv.ParseFloat(fields[1], 64)
		}
	}
	stat, err := os.ReadFile(folder + "/stat")
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return kilobytes, time.Duration(user+system) * clockTick
}

// TestCapacityGateway prints what a gateway takes for each idle connection, each open stream and each request.
func TestCapacityGateway(t *testing.T) {
	if os.Getenv(capacityVar) == "" {
		t.Skipf("runs with %s=1, as make capacity sets it", capacityVar)
	}
	s := newFaultSite(t, buildBinary(t))
	gateway := s.vms["gateway-0"]
	operator := standin.NewOperator()
	for end := time.Now().Add(readyMost); operator.Replace(s.ctx, s.vms["steward-0"].operator, s.table(1)) != http.StatusOK; pause(s.ctx, poll) {
		if time.Now().After(end) {
			t.Fatal("the table was not acknowledged")
		}
	}
	caller := standin.NewCaller(gateway.client, false)
	id := 0
	ask := func(path, model string) standin.Outcome {
		id++
		return caller.Do(s.ctx, standin.Attempt{ID: "c" + strconv.Itoa(id), Host: "one.example", Path: path, Model: model, Tokens: "200,48", Limit: 6 * time.Second})
	}
	for end := time.Now().Add(readyMost); ask("/read/x", "").Status != http.StatusOK && time.Now().Before(end); {
		pause(s.ctx, poll)
	}
	idle, _ := gateway.process.used(t)
	const connections = 1000
	open := openIdle(t, gateway.client, connections)
	held, _ := gateway.process.used(t)
	t.Logf("%d idle connections: %.1f KB each", connections, (held-idle)/connections)
	for _, c := range open {
		_ = c.Close()
	}
	for _, kind := range []struct {
		path, model string
		requests    int
	}{{"/read/x", "", 3000}, {"/live/x", modelName(0), 300}} {
		_, before := gateway.process.used(t)
		served := inParallel(kind.requests, func(n int) bool {
			return caller.Do(s.ctx, standin.Attempt{
				ID: kind.path + strconv.Itoa(n), Host: "one.example", Path: kind.path, Model: kind.model, Tokens: "200,48", Limit: 6 * time.Second,
			}).Status == http.StatusOK
		})
		_, after := gateway.process.used(t)
		t.Logf("%s: %d of %d served, %v of the gateway's processor time each", kind.path, served, kind.requests, (after-before)/time.Duration(max(served, 1)))
	}
}

// openIdle opens connections that each have sent one request that the gateway answers itself.
func openIdle(t *testing.T, address string, n int) []net.Conn {
	t.Helper()
	var open []net.Conn
	for range n {
		c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Fprintf(c, "GET /none/x HTTP/1.1\r\nHost: one.example\r\nBurdocksaddle-Attempt-Id: i%d\r\n\r\n", len(open)); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(make([]byte, 1024)); err != nil {
			t.Fatal(err)
		}
		open = append(open, c)
	}
	return open
}

// inParallel does something n times, eight at a time, and counts the successes.
func inParallel(n int, do func(n int) bool) int {
	var mu sync.Mutex
	var working sync.WaitGroup
	next, served := 0, 0
	for range 8 {
		working.Go(func() {
			for {
				mu.Lock()
				one := next
				next++
				mu.Unlock()
				if one >= n {
					return
				}
				if do(one) {
					mu.Lock()
					served++
					mu.Unlock()
				}
			}
		})
	}
	working.Wait()
	return served
}

// TestCapacityAgents prints what the same calls cost through an entry and an agent, the product's own roles.
func TestCapacityAgents(t *testing.T) {
	if os.Getenv(capacityVar) == "" {
		t.Skipf("runs with %s=1, as make capacity sets it", capacityVar)
	}
	s := newSite(t, 3, 0)
	get := func(int) bool {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.caller(0)+"/services/dispatch-desk/bookings", nil)
		if err != nil {
			return false
		}
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return false
		}
		return response.Body.Close() == nil && response.StatusCode == http.StatusOK
	}
	s.eventually("a call is served", func() bool { return get(0) })
	parts := []string{entry(0), deskAgent(0), deskAgent(1)}
	before := map[string]time.Duration{}
	for _, name := range parts {
		_, before[name] = s.running[name].used(t)
	}
	const calls = 3000
	served := inParallel(calls, get)
	for _, name := range parts {
		kilobytes, after := s.running[name].used(t)
		t.Logf("%s: %v of processor time a call, %.0f KB, %d of %d served", name, (after-before[name])/time.Duration(max(served, 1)), kilobytes, served, calls)
	}
}
