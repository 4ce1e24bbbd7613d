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

// meter gathers latencies, and the processor time of this whole process.
type meter struct {
	mu     sync.Mutex
	took   *hdrhistogram.Histogram
	usage  time.Duration
	begun  time.Time
	failed int
}

func newMeter() *meter {
	return &meter{took: hdrhistogram.New(1, histogramMax, 3), usage: processorTime(), begun: time.Now()}
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func (m *meter) add(d time.Duration, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !ok {
		m.failed++
		return
	}
	_ = m.took.RecordValue(int64(d))
}

func (m *meter) report(b *testing.B) {
	elapsed, count := time.Since(m.begun), float64(m.took.TotalCount())
	b.ReportMetric(float64(m.took.ValueAtQuantile(50))/1e3, "p50-µs")
	b.ReportMetric(float64(m.took.ValueAtQuantile(99))/1e3, "p99-µs")
	b.ReportMetric(float64(processorTime()-m.usage)/1e3/count, "cpu-µs/request")
	b.ReportMetric(count/elapsed.Seconds(), "requests/s")
	b.ReportMetric(float64(m.failed), "failed")
	b.ReportMetric(0, "ns/op")
}

// front serves the callers' API over the bed's first entry.
func (b *bed) front() string {
	s := setting.Defaults().Entry
	var next atomic.Uint64
	caller := web.NewCaller(b.entries[0], s, nil, logr.Discard(), func() string { return fmt.Sprint("bench-", next.Add(1)) })
	server := httptest.NewServer(caller.Handler())
	b.t.Cleanup(server.Close)
	return server.URL
}

// drive sends b.N requests from a few callers at once.
func drive(b *testing.B, one func(client *http.Client) bool) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchCallers}}
	defer client.CloseIdleConnections()
	m := newMeter()
	var left atomic.Int64
	left.Store(int64(b.N))
	var group sync.WaitGroup
	for range benchCallers {
		group.Go(func() {
			for left.Add(-1) >= 0 {
				begin := time.Now()
				ok := one(client)
				m.add(time.Since(begin), ok)
			}
		})
	}
	group.Wait()
	m.report(b)
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

// BenchmarkOverhead sets the whole path beside a direct call to the stand-in, in one run.
func BenchmarkOverhead(b *testing.B) {
	one := newBed(b, bedSize{entries: 1, services: 1, engines: 1, slots: 64, engine: []standin.EngineOption{standin.Slots(64), standin.TokenTime(time.Millisecond), standin.PrefillSteps(0)}})
	front := one.front()
	urls := map[string]string{"direct": one.agents[0].settings.Agent.EndpointURL, "path": front + "/services/" + desk}
	for _, name := range []string{"direct", "path"} {
		b.Run("look-up/"+name, func(b *testing.B) {
			drive(b, func(client *http.Client) bool {
				_, ok := fetch(client, http.MethodGet, urls[name]+"/stock/1", "")
				return ok
			})
		})
	}
	b.Run("booking/path", func(b *testing.B) {
		drive(b, func(client *http.Client) bool {
			_, ok := fetch(client, http.MethodPost, urls["path"]+"/bookings", "van")
			return ok
		})
	})
	body := `{"model":"` + model + `","stream":true,"messages":[{"role":"user","content":"` + strings.Repeat("word ", 30) + `"}]}`
	engines := map[string]string{"direct": one.agents[1].settings.Agent.EndpointURL, "path": front}
	for _, name := range []string{"direct", "path"} {
		b.Run("stream/"+name, func(b *testing.B) {
			tokens := atomic.Int64{}
			begin := time.Now()
			drive(b, func(client *http.Client) bool {
				answer, ok := fetch(client, http.MethodPost, engines[name]+engineapi.PathCompletions, body)
				tokens.Add(int64(strings.Count(answer, "data: ")))
				return ok
			})
			b.ReportMetric(float64(tokens.Load())/time.Since(begin).Seconds(), "tokens/s")
		})
	}
}

// BenchmarkGoodput offers multiples of the measured capacity and counts what is answered in time.
func BenchmarkGoodput(b *testing.B) {
	const deadline = time.Second
	length := 4 * time.Second
	one := newBed(b, bedSize{entries: 1, engines: 2, slots: 8, engine: []standin.EngineOption{standin.Slots(8), standin.TokenTime(10 * time.Millisecond), standin.PrefillSteps(0)}})
	ask := func(ctx context.Context) bool {
		begin := time.Now()
		got := one.chat(ctx, 0, strings.TrimSpace(strings.Repeat("word ", 20)), true, deadline)
		return got.err == nil && time.Since(begin) <= deadline
	}
	capacity := closedLoop(b, ask, length)
	b.ReportMetric(capacity, "capacity/s")
	peak := 0.0
	for _, times := range []float64{1, 2, 5, 10} {
		good, refused := openLoop(b, ask, times*capacity, length)
		peak = max(peak, good)
		b.ReportMetric(good/peak, fmt.Sprintf("of-peak-at-%gx", times))
		b.Logf("%gx: offered %.0f/s, in time %.1f/s (%.2f of the peak), not in time or refused %.1f/s", times, times*capacity, good, good/peak, refused)
	}
	b.ReportMetric(0, "ns/op")
}

// closedLoop keeps every slot busy and returns the answers a second.
func closedLoop(b *testing.B, ask func(context.Context) bool, length time.Duration) float64 {
	ctx, cancel := context.WithTimeout(b.Context(), length)
	defer cancel()
	var done atomic.Int64
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() {
			for ctx.Err() == nil {
				if ask(b.Context()) {
					done.Add(1)
				}
			}
		})
	}
	group.Wait()
	return float64(done.Load()) / length.Seconds()
}

// openLoop sends at a steady rate, whatever is answered.
func openLoop(b *testing.B, ask func(context.Context) bool, rate float64, length time.Duration) (good, bad float64) {
	var in, out atomic.Int64
	var group sync.WaitGroup
	begin := time.Now()
	for sent := 0; time.Since(begin) < length; sent++ {
		if ahead := time.Duration(float64(sent)/rate*float64(time.Second)) - time.Since(begin); ahead > 0 {
			time.Sleep(ahead)
		}
		group.Go(func() {
			if ask(b.Context()) {
				in.Add(1)
			} else {
				out.Add(1)
			}
		})
	}
	group.Wait()
	took := time.Since(begin).Seconds()
	return float64(in.Load()) / took, float64(out.Load()) / took
}

// BenchmarkFirstToken measures the time to the first part of a stream while the
// pool's connection works and after it has gone silent.
func BenchmarkFirstToken(b *testing.B) {
	for _, silent := range []bool{false, true} {
		b.Run(fmt.Sprintf("silent=%v", silent), func(b *testing.B) {
			one := newBed(b, bedSize{entries: 1, engines: 2, engine: []standin.EngineOption{standin.PrefillSteps(0)}})
			m := newMeter()
			for range 20 {
				if silent {
					one.links.silence(one.agents[0].settings.Listen)
				}
				begin := time.Now()
				first := time.Duration(0)
				got := one.chatFirst(b.Context(), func() { first = time.Since(begin) })
				m.add(first, got.err == nil)
			}
			m.report(b)
		})
	}
}
