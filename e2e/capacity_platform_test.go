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

// clockTick is the unit of CPU times in /proc/PID/stat (USER_HZ is 100).
const clockTick = 10 * time.Millisecond

// resourceUsage returns the process's resident memory in KB and the CPU time it has used.
func (p *process) resourceUsage(t *testing.T) (rssKB float64, cpu time.Duration) {
	t.Helper()
	dir := "/proc/" + strconv.Itoa(p.command.Process.Pid)
	status, err := os.ReadFile(dir + "/status")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			rssKB, _ = strconv.ParseFloat(fields[1], 64)
		}
	}
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return rssKB, time.Duration(user+system) * clockTick
}

// TestCapacityGateway logs a gateway's memory per idle connection and its CPU time per plain request and per stream.
func TestCapacityGateway(t *testing.T) {
	if os.Getenv(capacityEnv) == "" {
		t.Skipf("runs with %s=1, as make capacity sets it", capacityEnv)
	}
	c := newPlatformCluster(t, smallShape, buildBinary(t))
	gateway := c.vms["gateway-0"]
	operator := standin.NewOperator()
	for end := time.Now().Add(maxStartTime); operator.Replace(c.ctx, c.vms["steward-0"].operator, c.routingTable(1, 0, nil)) != http.StatusOK; sleepContext(c.ctx, pollInterval) {
		if time.Now().After(end) {
			t.Fatal("the routing table was not acknowledged")
		}
	}
	caller := standin.NewCaller(gateway.client, false)
	id := 0
	send := func(path, model string) standin.Outcome {
		id++
		return caller.Do(c.ctx, standin.Request{ID: "c" + strconv.Itoa(id), Host: "one.example", Path: path, Model: model, Tokens: "200,48", Timeout: 6 * time.Second})
	}
	for end := time.Now().Add(maxStartTime); send("/read/x", "").Status != http.StatusOK && time.Now().Before(end); {
		sleepContext(c.ctx, pollInterval)
	}
	baseline, _ := gateway.process.resourceUsage(t)
	const connections = 1000
	conns := openIdleConns(t, gateway.client, connections)
	withConns, _ := gateway.process.resourceUsage(t)
	t.Logf("%d idle connections: %.1f KB each", connections, (withConns-baseline)/connections)
	for _, conn := range conns {
		_ = conn.Close()
	}
	for _, kind := range []struct {
		path, model string
		requests    int
	}{{"/read/x", "", 3000}, {"/live/x", modelName(0), 300}} {
		_, before := gateway.process.resourceUsage(t)
		served := runParallel(kind.requests, func(n int) bool {
			return caller.Do(c.ctx, standin.Request{
				ID: kind.path + strconv.Itoa(n), Host: "one.example", Path: kind.path, Model: kind.model, Tokens: "200,48", Timeout: 6 * time.Second,
			}).Status == http.StatusOK
		})
		_, after := gateway.process.resourceUsage(t)
		t.Logf("%s: %d of %d served, %v of gateway CPU time per request", kind.path, served, kind.requests, (after-before)/time.Duration(max(served, 1)))
	}
}

// openIdleConns opens n connections and sends one request over each. No route matches its path, so the gateway answers it itself.
func openIdleConns(t *testing.T, address string, n int) []net.Conn {
	t.Helper()
	var conns []net.Conn
	for range n {
		conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := fmt.Fprintf(conn, "GET /none/x HTTP/1.1\r\nHost: one.example\r\nBurdocksaddle-Attempt-Id: i%d\r\n\r\n", len(conns)); err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Read(make([]byte, 1024)); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	return conns
}

// runParallel calls do n times in eight goroutines and returns the number of successful calls.
func runParallel(n int, do func(n int) bool) int {
	var mu sync.Mutex
	var workers sync.WaitGroup
	next, succeeded := 0, 0
	for range 8 {
		workers.Go(func() {
			for {
				mu.Lock()
				i := next
				next++
				mu.Unlock()
				if i >= n {
					return
				}
				if do(i) {
					mu.Lock()
					succeeded++
					mu.Unlock()
				}
			}
		})
	}
	workers.Wait()
	return succeeded
}

// TestCapacityAgents logs the CPU time per request and the memory of an entry and of the agents behind it.
func TestCapacityAgents(t *testing.T) {
	if os.Getenv(capacityEnv) == "" {
		t.Skipf("runs with %s=1, as make capacity sets it", capacityEnv)
	}
	c := newProcessCluster(t, 3, 0)
	get := func(int) bool {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, c.callerURL(0)+"/services/dispatch-desk/bookings", nil)
		if err != nil {
			return false
		}
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			return false
		}
		return response.Body.Close() == nil && response.StatusCode == http.StatusOK
	}
	c.eventually("a request is served", func() bool { return get(0) })
	names := []string{entryName(0), plainAgentName(0), plainAgentName(1)}
	before := map[string]time.Duration{}
	for _, name := range names {
		_, before[name] = c.processes[name].resourceUsage(t)
	}
	const calls = 3000
	served := runParallel(calls, get)
	for _, name := range names {
		rssKB, after := c.processes[name].resourceUsage(t)
		t.Logf("%s: %v of CPU time per request, %.0f KB resident, %d of %d served", name, (after-before[name])/time.Duration(max(served, 1)), rssKB, served, calls)
	}
}
