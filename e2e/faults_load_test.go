package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"burdocksaddle/platform/standin"
)

const (
	// callersEach are the callers of each gateway, callerPause what each waits between two requests.
	callersEach = 4
	callerPause = 60 * time.Millisecond
	// changeEvery is how often the operator sends a configuration, readEvery how often it reads one back.
	changeEvery = 1500 * time.Millisecond
	readEvery   = 200 * time.Millisecond
	// contactMost is for how long a steward may not be sure which configuration is the newest.
	contactMost = 4 * time.Second
)

// faultLoad is callers and an operator at work.
type faultLoad struct {
	site *faultSite
	// cancel ends the requests to come; those under way end by themselves.
	cancel  context.CancelFunc
	ctx     context.Context
	working sync.WaitGroup

	mu       sync.Mutex
	outcomes []standin.Outcome
	changes  []sentChange
	reads    []readBack
	version  int
	// final are the readings at the end, one at each steward.
	final []readBack
}

func startLoad(s *faultSite, seed uint64) *faultLoad {
	l := &faultLoad{site: s}
	l.ctx, l.cancel = context.WithCancel(s.ctx)
	for g := range faultGateways {
		address := s.vms["gateway-"+strconv.Itoa(g)].client
		for n := range callersEach {
			r := rand.New(rand.NewPCG(seed, uint64(1000+g*callersEach+n)))
			l.working.Go(func() { l.call(standin.NewCaller(address, n%2 == 1), r, fmt.Sprintf("g%dc%d", g, n)) })
		}
	}
	l.working.Go(func() { l.operate(rand.New(rand.NewPCG(seed, 7))) })
	return l
}

// end waits for the requests under way.
func (l *faultLoad) end() {
	l.cancel()
	l.working.Wait()
}

// attempt draws a request.
func attempt(r *rand.Rand, id string) standin.Attempt {
	a := standin.Attempt{ID: id, Host: "one.example", Body: []byte("body of " + id), Limit: 1500 * time.Millisecond}
	switch n := r.IntN(10); {
	case n < 2:
		a.Path = "/book/x"
	case n < 4:
		a.Path = "/read/x"
	default:
		a.Path, a.Limit, a.Tokens = draw(r, []string{"/live/x", "/live/x", "/once/x"}), 6*time.Second, "200,48"
		a.Model = modelName(min(r.IntN(faultModels), r.IntN(faultModels)))
		if r.IntN(3) == 0 {
			a.Model += "/a" + strconv.Itoa(1+r.IntN(6))
		}
	}
	return a
}

// call sends requests one after the other; a refused one comes back once, after the time that it was told, as a new request.
func (l *faultLoad) call(c *standin.Caller, r *rand.Rand, name string) {
	defer c.Close()
	for n := 0; pause(l.ctx, callerPause); n++ {
		a := attempt(r, name+"-"+strconv.Itoa(n))
		o := l.note(c.Do(l.site.ctx, a))
		if o.NotRun && o.RetryAfter <= a.Limit/3 && pause(l.ctx, o.RetryAfter) {
			a.ID += "-again"
			l.note(c.Do(l.site.ctx, a))
		}
	}
}

func (l *faultLoad) note(o standin.Outcome) standin.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
	return o
}

// operate sends a configuration now and then until it is acknowledged, and reads it back all the time.
func (l *faultLoad) operate(r *rand.Rand) {
	operator, next := standin.NewOperator(), time.Now()
	for pause(l.ctx, readEvery) {
		if time.Now().After(next) {
			next = time.Now().Add(changeEvery)
			l.change(operator, r)
		}
		l.read(operator, draw(r, l.site.seeds()))
	}
}

func (l *faultLoad) change(operator *standin.Operator, r *rand.Rand) {
	l.version += 1 + r.IntN(3)
	change := sentChange{version: l.version, sent: time.Now()}
	seeds := l.site.seeds()
	for range 3 * len(seeds) {
		at := draw(r, seeds)
		if status := operator.Replace(l.ctx, at, l.site.table(l.version)); status == http.StatusOK {
			change.acked = time.Now()
			break
		}
		if !pause(l.ctx, 50*time.Millisecond) {
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes = append(l.changes, change)
}

func (l *faultLoad) read(operator *standin.Operator, at string) {
	began := time.Now()
	status, body := operator.Describe(l.site.ctx, at)
	var table struct{ Version int }
	if status != http.StatusOK || json.Unmarshal(body, &table) != nil {
		return // a steward that is not sure says so
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads = append(l.reads, readBack{began, at, table.Version})
}

// readAtEnd reads the configuration back at every steward, for as long as contact may take.
func (l *faultLoad) readAtEnd() {
	operator := standin.NewOperator()
	for _, at := range l.site.seeds() {
		before := len(l.reads)
		for end := time.Now().Add(contactMost); len(l.reads) == before && time.Now().Before(end); pause(l.site.ctx, readEvery/4) {
			l.read(operator, at)
		}
		if len(l.reads) > before {
			l.final = append(l.final, l.reads[len(l.reads)-1])
		}
	}
}

// served counts the whole answers since a moment.
func (l *faultLoad) served(since time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, o := range l.outcomes {
		if o.Status == http.StatusOK && o.Whole && o.Sent.After(since) {
			n++
		}
	}
	return n
}

// facts returns what was seen; it is called after the end.
func (l *faultLoad) facts(healed time.Time) facts {
	l.site.mu.Lock()
	thawed := l.site.thawed
	l.site.mu.Unlock()
	return facts{outcomes: l.outcomes, endpoints: l.site.endpoints(), changes: l.changes, reads: l.reads, final: l.final, thawed: thawed, healed: healed}
}
