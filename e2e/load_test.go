package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"burdocksaddle/demo"
	"burdocksaddle/engineapi"
)

const (
	requestDeadline = 6 * time.Second
	// An answer later than this after its deadline counts as none.
	answerSlack = 2 * time.Second
	maxRequests = 20_000
	// The balancer asks this often, and gives an entry up after one failure.
	healthInterval = 100 * time.Millisecond
	healthTimeout  = 500 * time.Millisecond
	// maxAttempts is how often a booking is sent under one key.
	maxAttempts = 3
)

// kind is what a request asks for.
type kind string

const (
	booking kind = "booking"
	stream  kind = "stream"
	whole   kind = "whole"
	lookup  kind = "lookup"
)

// attempt is one request and what came back.
type attempt struct {
	kind   kind
	key    string
	entry  int
	begin  time.Time
	took   time.Duration
	status int
	// cut tells that the connection broke, or that the answer is not whole.
	cut     bool
	problem problem
	detail  string
	// wrong tells that the answer is not that of this request.
	wrong bool
}

type problem struct {
	Code, Run, RequestID string
}

// load asks for everything through the entries until it is stopped.
type load struct {
	callers   []string
	pause     time.Duration
	transport func() *http.Transport
	// healthy is the balancer's view of each entry.
	healthy []atomic.Bool
	stop    context.CancelFunc
	group   sync.WaitGroup
	count   atomic.Int64
	mu      sync.Mutex
	done    []attempt
}

// begin starts callers of every kind at each entry.
func begin(ctx context.Context, callers []string, pause time.Duration, transport func() *http.Transport) *load {
	l := &load{callers: callers, pause: pause, transport: transport, healthy: make([]atomic.Bool, len(callers))}
	ctx, l.stop = context.WithCancel(ctx)
	for i := range callers {
		l.healthy[i].Store(true)
		l.group.Go(func() { l.balance(ctx, i) })
	}
	for i := range callers {
		for _, k := range []kind{booking, booking, stream, stream, whole, lookup} {
			l.group.Go(func() { l.ask(ctx, k, i) })
		}
	}
	return l
}

// end stops the callers once their open requests are answered.
func (l *load) end() []attempt {
	l.stop()
	l.group.Wait()
	return l.done
}

// since returns the attempts that began at or after a moment.
func (l *load) since(moment time.Time) []attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []attempt
	for _, a := range l.done {
		if !a.begin.Before(moment) {
			found = append(found, a)
		}
	}
	return found
}

// balance asks for an entry's health, as the balancer before it does.
func (l *load) balance(ctx context.Context, i int) {
	transport := l.transport()
	transport.DisableKeepAlives = true
	client := &http.Client{Transport: transport, Timeout: healthTimeout}
	for ctx.Err() == nil {
		response, err := client.Get(l.callers[i] + "/healthz")
		if err == nil {
			_ = response.Body.Close()
		}
		l.healthy[i].Store(err == nil && response.StatusCode == http.StatusOK)
		time.Sleep(healthInterval)
	}
}

// choose returns the wanted entry, or the next healthy one.
func (l *load) choose(want int) int {
	for i := range l.callers {
		if next := (want + i) % len(l.callers); l.healthy[next].Load() {
			return next
		}
	}
	return want % len(l.callers)
}

func (l *load) ask(ctx context.Context, k kind, entry int) {
	// A client for each caller, so that its connections are its own.
	client := &http.Client{Transport: l.transport()}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		n := l.count.Add(1)
		if n > maxRequests {
			return
		}
		key := string(k) + "-" + strconv.FormatInt(n, 10)
		for i := range maxAttempts {
			at := l.choose(entry + i)
			a := send(client, l.callers[at], k, key)
			a.entry = at
			l.mu.Lock()
			l.done = append(l.done, a)
			l.mu.Unlock()
			if k != booking || a.status == http.StatusOK && !a.cut {
				break
			}
		}
		time.Sleep(l.pause)
	}
}

// send makes one request; the caller's own timeout is its deadline and some slack.
func send(client *http.Client, base string, k kind, key string) attempt {
	a := attempt{kind: k, key: key, begin: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), requestDeadline+answerSlack)
	defer cancel()
	path, body := bodyOf(k, key)
	method := http.MethodPost
	if k == lookup {
		method = http.MethodGet
	}
	request, err := http.NewRequestWithContext(ctx, method, base+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Header.Set("Idempotency-Key", key)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(requestDeadline.Milliseconds(), 10))
	response, err := client.Do(request)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		a.status = response.StatusCode
		var data []byte
		data, err = io.ReadAll(response.Body)
		a.read(data)
	}
	if err != nil {
		a.cut, a.detail = true, err.Error()+" "+a.detail
	}
	a.took = time.Since(a.begin)
	return a
}

func model(key string) string {
	models := demo.Catalog().Models
	n := 0
	for _, c := range key {
		n += int(c)
	}
	return models[n%len(models)].Name
}

func bodyOf(k kind, key string) (string, []byte) {
	switch k {
	case booking:
		return "/services/dispatch-desk/bookings", []byte(key)
	case lookup:
		return "/services/dispatch-desk/stock/" + key, nil
	default:
		body, _ := json.Marshal(engineapi.ChatRequest{
			Model: model(key), Stream: k == stream,
			Messages: []engineapi.ChatMessage{{Role: engineapi.RoleUser, Content: prompt(key)}},
		})
		return engineapi.PathCompletions, body
	}
}

// prompt is long enough that a stream is open for a while.
func prompt(key string) string {
	words := make([]string, 0, 25)
	for i := range 25 {
		words = append(words, fmt.Sprintf("%s/%d", key, i))
	}
	return strings.Join(words, " ")
}

// read judges an answer's wholeness and whether it is this request's own.
func (a *attempt) read(data []byte) {
	if a.status != http.StatusOK {
		_ = json.Unmarshal(data, &a.problem)
		a.detail = string(data)
		return
	}
	want, got := "echo "+model(a.key)+": "+prompt(a.key), ""
	switch a.kind {
	case booking:
		want, got = a.key, serviceAnswer(data).Body
	case lookup:
		want, got = "/stock/"+a.key, serviceAnswer(data).Path
	case whole:
		var answer engineapi.ChatCompletion
		if json.Unmarshal(data, &answer) == nil && len(answer.Choices) > 0 && answer.Choices[0].Message != nil {
			got = answer.Choices[0].Message.Content
		}
	case stream:
		var ended bool
		if got, ended = joined(string(data)); !ended {
			a.cut, a.wrong, a.detail = true, !strings.HasPrefix(want, got), last(string(data))
			return
		}
	}
	if a.wrong = got != want; a.wrong {
		a.detail = string(data)
	}
}

func serviceAnswer(data []byte) (answer struct{ Path, Body string }) {
	_ = json.Unmarshal(data, &answer)
	return answer
}

// joined puts a stream's pieces together and tells whether its end came.
func joined(text string) (string, bool) {
	var content strings.Builder
	for line := range strings.Lines(text) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if data == engineapi.StreamDone {
			return content.String(), true
		}
		var chunk engineapi.ChatCompletion
		if ok && json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 && chunk.Choices[0].Delta != nil {
			content.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return content.String(), false
}

func last(text string) string { return text[max(0, len(text)-300):] }
