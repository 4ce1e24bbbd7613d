package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/quota"
	"burdocksaddle/route"
	"burdocksaddle/team"
	"burdocksaddle/wirepb"
)

var (
	quotaBounds = quota.Bounds{Window: 8 * time.Second, Overage: 0.1, Slack: 7400}
	pressTeam   = team.Team{Name: "press", Cap: team.Cap{PerSecond: 1000, Burst: 2000, CountsTokens: true, PlainTokens: 200}}
)

// quotaTest is a gateway whose leader is a bucket of the press team.
type quotaTest struct {
	*testGateway
	mu      sync.Mutex
	bucket  *quota.Bucket
	calls   int
	open    int
	maxOpen int
	fail    error
	delay   time.Duration
}

func newQuotaTest(t *testing.T) *quotaTest {
	t.Helper()
	b := newTestGateway(t, nil)
	b.config.Quota = quotaBounds
	q := &quotaTest{testGateway: b, bucket: quota.NewBucket(quotaBounds, pressTeam.Cap, time.Now().Add(-time.Minute)), delay: 2 * time.Millisecond}
	b.currentLeader = "steward"
	b.askQuota = func(_ context.Context, _ string, request *wirepb.QuotaRequest) (*wirepb.QuotaReply, error) {
		q.mu.Lock()
		q.calls++
		q.open++
		q.maxOpen = max(q.maxOpen, q.open)
		delay, fail := q.delay, q.fail
		q.mu.Unlock()
		time.Sleep(delay)
		q.mu.Lock()
		defer q.mu.Unlock()
		q.open--
		if fail != nil {
			return nil, fail
		}
		asks := quota.DecodeAsks(request)
		var answers []quota.Answer
		for _, ask := range asks {
			answers = append(answers, q.bucket.Take(request.GetGateway(), ask.Ask, time.Now()))
		}
		return quota.EncodeAnswers(asks, answers), nil
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := b.runQuota(ctx)
	t.Cleanup(func() { cancel(); <-done })
	return q
}

// quotaOutcome is a request's admission as its client sees it.
type quotaOutcome struct {
	Admitted bool
	Status   int
	After    time.Duration
	Took     time.Duration
}

// newTransaction returns a request of the press team.
func (q *quotaTest) newTransaction(tokens, priority int) (*transaction, *quotaOutcome) {
	outcome := &quotaOutcome{}
	httpRequest, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+testHost+"/live/a", http.NoBody)
	if err != nil {
		panic(err)
	}
	return &transaction{
		Gateway: q.Gateway, table: q.table.Load(), arrivedAt: time.Now(), route: route.Route{Priority: priority, LatencyObjective: 500 * time.Millisecond},
		request:   &Request{ID: "r", PromptTokens: tokens, HTTPRequest: httpRequest},
		responder: Responder{Refuse: func(r Refusal) { outcome.Status, outcome.After = r.Status, r.RetryAfter }},
	}, outcome
}

func (q *quotaTest) charge(ctx context.Context, tokens int) (*transaction, quotaOutcome) {
	t, outcome := q.newTransaction(tokens, 1)
	began := time.Now()
	outcome.Admitted = t.chargeQuota(ctx, pressTeam)
	outcome.Took = time.Since(began)
	return t, *outcome
}

// TestTeamLimit guards against requests over the limit that are admitted, or not rejected at once with the time of the next room.
func TestTeamLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuotaTest(t)
		var got []quotaOutcome
		for _, tokens := range []int{1500, 500, 1000, 1000} {
			_, outcome := q.charge(t.Context(), tokens)
			outcome.Took, outcome.After = outcome.Took.Truncate(20*time.Millisecond), outcome.After.Round(100*time.Millisecond)
			got = append(got, outcome)
		}
		time.Sleep(time.Second)
		_, later := q.charge(t.Context(), 900)
		want := []quotaOutcome{{Admitted: true}, {Admitted: true}, {Status: 429, After: time.Second}, {Status: 429, After: time.Second}}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
		if !later.Admitted {
			t.Errorf("rejected after the time that was named: %+v", later)
		}
		if q.maxOpen != 1 {
			t.Errorf("%d calls at a time", q.maxOpen)
		}
	})
}

// TestUnlimitedTeam guards against calls and waits for teams without a limit.
func TestUnlimitedTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuotaTest(t)
		tx, _ := q.newTransaction(5000, 1)
		if !tx.chargeQuota(t.Context(), team.Team{Name: "free"}) || q.calls > 0 || !tx.renewQuota(t.Context()) {
			t.Errorf("%d calls", q.calls)
		}
	})
}

// TestQuotaOrder guards against less urgent or later requests that are served before others that wait.
func TestQuotaOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuotaTest(t)
		q.charge(t.Context(), 2000)
		q.delay = 100 * time.Millisecond
		began, priorities := time.Now(), []int{5, 3, 1, 1, 3}
		decidedAfter := make([]time.Duration, len(priorities))
		var clients sync.WaitGroup
		for n, priority := range priorities {
			tx, _ := q.newTransaction(100, priority)
			tx.route.LatencyObjective = 2 * time.Second
			clients.Go(func() {
				if !tx.chargeQuota(t.Context(), pressTeam) {
					t.Errorf("request %d was rejected", n)
				}
				decidedAfter[n] = time.Since(began)
			})
			time.Sleep(time.Millisecond)
			synctest.Wait()
		}
		clients.Wait()
		var inOrder []time.Duration
		for _, n := range []int{2, 3, 1, 4, 0} {
			inOrder = append(inOrder, decidedAfter[n])
		}
		if !slices.IsSorted(inOrder) || inOrder[0] == inOrder[4] {
			t.Errorf("the requests with urgencies 1, 1, 3, 3 and 5 were served after %v", inOrder)
		}
	})
}

// TestQuotaWithoutLeader guards against requests that wait for longer than allowed, or get no time to return, while no leader answers.
func TestQuotaWithoutLeader(t *testing.T) {
	tests := map[string]func(*quotaTest){
		"no leader":         func(q *quotaTest) { q.currentLeader = "" },
		"the leader hangs":  func(q *quotaTest) { q.delay = quota.CallTimeout },
		"the leader failed": func(q *quotaTest) { q.fail = errors.New("connection reset") },
	}
	for name, set := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				q := newQuotaTest(t)
				set(q)
				_, outcome := q.charge(t.Context(), 500)
				if outcome.Status != 429 || outcome.After <= 0 || outcome.Took > 301*time.Millisecond {
					t.Errorf("%+v", outcome)
				}
			})
		})
	}
}

// TestLeaseWithoutLeader guards against a gateway in use that rejects all requests during an election, or uses more than its lease.
func TestLeaseWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuotaTest(t)
		admitted := func(d time.Duration) (n int) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				tx, _ := q.newTransaction(50, 1)
				if tx.chargeQuota(t.Context(), pressTeam) {
					n++
				}
			}
			return n
		}
		if got := admitted(5 * time.Second); got < 48 {
			t.Errorf("%d of 50 admitted with a leader", got)
		}
		q.Gateway.mu.Lock()
		q.currentLeader = ""
		q.Gateway.mu.Unlock()
		// 500 per second are used, the lease is 1.3 times as much from 0.5 s on for 2 s.
		if got := admitted(10 * time.Second); got < 10 || got > 26 {
			t.Errorf("%d admitted without one", got)
		}
	})
}

// TestReturnAndRenewQuota guards against amounts that are lost with requests that never ran, and requests that are sent long after they were
// charged.
func TestReturnAndRenewQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQuotaTest(t)
		first, _ := q.charge(t.Context(), 2000)
		first.returnQuota()
		if _, outcome := q.charge(t.Context(), 2000); !outcome.Admitted {
			t.Errorf("what was returned is lost: %+v", outcome)
		}
		time.Sleep(2 * time.Second)
		waited, _ := q.charge(t.Context(), 1000)
		time.Sleep(600 * time.Millisecond)
		if !waited.renewQuota(t.Context()) {
			t.Error("not renewed although there is room")
		}
		levelNow := func() float64 {
			q.mu.Lock()
			defer q.mu.Unlock()
			return q.bucket.Level(time.Now())
		}
		level := levelNow()
		if level > 700 {
			t.Errorf("a late request was not charged again: %.0f left", level)
		}
		time.Sleep(600 * time.Millisecond)
		waited.executions = 1
		if !waited.renewQuota(t.Context()) || levelNow() < level+500 {
			t.Error("charged again although it may have run")
		}
	})
}
