package entry_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"

	"burdocksaddle/engineapi"
	"burdocksaddle/setting"
	"burdocksaddle/standin"
	"burdocksaddle/web"
)

const (
	benchCallers = 8
	histogramMax = int64(time.Minute)
)

// latencyRecorder records request latencies and the CPU time of the whole test process.
type latencyRecorder struct {
	mu         sync.Mutex
	latencies  *hdrhistogram.Histogram
	cpuAtStart time.Duration
	startedAt  time.Time
	failed     int
}

func newLatencyRecorder() *latencyRecorder {
	return &latencyRecorder{latencies: hdrhistogram.New(1, histogramMax, 3), cpuAtStart: cpuTime(), startedAt: time.Now()}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func (rec *latencyRecorder) add(d time.Duration, ok bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if !ok {
		rec.failed++
		return
	}
	_ = rec.latencies.RecordValue(int64(d))
}

func (rec *latencyRecorder) report(b *testing.B) {
	elapsed, count := time.Since(rec.startedAt), float64(rec.latencies.TotalCount())
	b.ReportMetric(float64(rec.latencies.ValueAtQuantile(50))/1e3, "p50-µs")
	b.ReportMetric(float64(rec.latencies.ValueAtQuantile(99))/1e3, "p99-µs")
	b.ReportMetric(float64(cpuTime()-rec.cpuAtStart)/1e3/count, "cpu-µs/request")
	b.ReportMetric(count/elapsed.Seconds(), "requests/s")
	b.ReportMetric(float64(rec.failed), "failed")
	b.ReportMetric(0, "ns/op")
}

// serveCallerAPI serves the caller API of the first entry and returns its URL.
func (c *cluster) serveCallerAPI() string {
	s := setting.Defaults().Entry
	var next atomic.Uint64
	caller := web.NewCaller(c.entries[0], s, nil, logr.Discard(), func() string { return fmt.Sprint("bench-", next.Add(1)) })
	server := httptest.NewServer(caller.Handler())
	c.t.Cleanup(server.Close)
	return server.URL
}

// runClients sends b.N requests from benchCallers concurrent clients.
func runClients(b *testing.B, send func(client *http.Client) bool) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchCallers}}
	defer client.CloseIdleConnections()
	rec := newLatencyRecorder()
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var group sync.WaitGroup
	for range benchCallers {
		group.Go(func() {
			for remaining.Add(-1) >= 0 {
				begin := time.Now()
				ok := send(client)
				rec.add(time.Since(begin), ok)
			}
		})
	}
	group.Wait()
	rec.report(b)
}

func fetch(client *http.Client, method, url, body string) (string, bool) {
	request, err := http.NewRequest(method, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return "", false
	}
	response, err := client.Do(request)
	if err != nil {
		return "", false
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return string(answer), err == nil && response.StatusCode == http.StatusOK
}

// BenchmarkOverhead compares requests through entry and agent with direct requests to the simulated endpoint, in one run.
func BenchmarkOverhead(b *testing.B) {
	c := newCluster(b, clusterConfig{entries: 1, services: 1, engines: 1, slots: 64, engineOptions: []standin.EngineOption{standin.Slots(64), standin.TokenTime(time.Millisecond), standin.PrefillSteps(0)}})
	callerURL := c.serveCallerAPI()
	urls := map[string]string{"direct": c.agents[0].settings.Agent.EndpointURL, "path": callerURL + "/services/" + plainService}
	for _, name := range []string{"direct", "path"} {
		b.Run("look-up/"+name, func(b *testing.B) {
			runClients(b, func(client *http.Client) bool {
				_, ok := fetch(client, http.MethodGet, urls[name]+"/stock/1", "")
				return ok
			})
		})
	}
	b.Run("booking/path", func(b *testing.B) {
		runClients(b, func(client *http.Client) bool {
			_, ok := fetch(client, http.MethodPost, urls["path"]+"/bookings", "van")
			return ok
		})
	})
	body := `{"model":"` + modelName + `","stream":true,"messages":[{"role":"user","content":"` + strings.Repeat("word ", 30) + `"}]}`
	engines := map[string]string{"direct": c.agents[1].settings.Agent.EndpointURL, "path": callerURL}
	for _, name := range []string{"direct", "path"} {
		b.Run("stream/"+name, func(b *testing.B) {
			tokens := atomic.Int64{}
			begin := time.Now()
			runClients(b, func(client *http.Client) bool {
				answer, ok := fetch(client, http.MethodPost, engines[name]+engineapi.PathCompletions, body)
				tokens.Add(int64(strings.Count(answer, "data: ")))
				return ok
			})
			b.ReportMetric(float64(tokens.Load())/time.Since(begin).Seconds(), "tokens/s")
		})
	}
}

// BenchmarkGoodput offers multiples of the measured capacity and counts the responses within the deadline.
func BenchmarkGoodput(b *testing.B) {
	const deadline = time.Second
	length := 4 * time.Second
	c := newCluster(b, clusterConfig{entries: 1, engines: 2, slots: 8, engineOptions: []standin.EngineOption{standin.Slots(8), standin.TokenTime(10 * time.Millisecond), standin.PrefillSteps(0)}})
	sendChat := func(ctx context.Context) bool {
		begin := time.Now()
		got := c.chat(ctx, 0, strings.TrimSpace(strings.Repeat("word ", 20)), true, deadline)
		return got.err == nil && time.Since(begin) <= deadline
	}
	capacity := closedLoop(b, sendChat, length)
	b.ReportMetric(capacity, "capacity/s")
	peak := 0.0
	for _, multiple := range []float64{1, 2, 5, 10} {
		good, refused := openLoop(b, sendChat, multiple*capacity, length)
		peak = max(peak, good)
		b.ReportMetric(good/peak, fmt.Sprintf("of-peak-at-%gx", multiple))
		b.Logf("%gx: offered %.0f/s, in time %.1f/s (%.2f of the peak), not in time or refused %.1f/s", multiple, multiple*capacity, good, good/peak, refused)
	}
	b.ReportMetric(0, "ns/op")
}

// closedLoop keeps every slot busy and returns the responses per second.
func closedLoop(b *testing.B, send func(context.Context) bool, length time.Duration) float64 {
	ctx, cancel := context.WithTimeout(b.Context(), length)
	defer cancel()
	var done atomic.Int64
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() {
			for ctx.Err() == nil {
				if send(b.Context()) {
					done.Add(1)
				}
			}
		})
	}
	group.Wait()
	return float64(done.Load()) / length.Seconds()
}

// openLoop sends at a fixed rate, regardless of the responses.
func openLoop(b *testing.B, send func(context.Context) bool, rate float64, length time.Duration) (good, bad float64) {
	var answered, failed atomic.Int64
	var group sync.WaitGroup
	begin := time.Now()
	for sent := 0; time.Since(begin) < length; sent++ {
		if ahead := time.Duration(float64(sent)/rate*float64(time.Second)) - time.Since(begin); ahead > 0 {
			time.Sleep(ahead)
		}
		group.Go(func() {
			if send(b.Context()) {
				answered.Add(1)
			} else {
				failed.Add(1)
			}
		})
	}
	group.Wait()
	took := time.Since(begin).Seconds()
	return float64(answered.Load()) / took, float64(failed.Load()) / took
}

// BenchmarkFirstToken measures the time to the first chunk of a stream, with a working connection and with one that
// silently drops all traffic.
func BenchmarkFirstToken(b *testing.B) {
	for _, silent := range []bool{false, true} {
		b.Run(fmt.Sprintf("silent=%v", silent), func(b *testing.B) {
			c := newCluster(b, clusterConfig{entries: 1, engines: 2, engineOptions: []standin.EngineOption{standin.PrefillSteps(0)}})
			rec := newLatencyRecorder()
			for range 20 {
				if silent {
					c.network.dropTraffic(c.agents[0].settings.Listen)
				}
				begin := time.Now()
				first := time.Duration(0)
				got := c.chatWithFirstChunk(b.Context(), func() { first = time.Since(begin) })
				rec.add(first, got.err == nil)
			}
			rec.report(b)
		})
	}
}
