package entry_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"burdocksaddle/standin"
)

var (
	seeds     = flag.Int("seeds", 1, "random runs, with the seeds from -first-seed on")
	firstSeed = flag.Uint64("first-seed", 1, "first seed")
	length    = flag.Duration("length", 4*time.Second, "length of each random run")
)

// TestRandomFaults sends requests while connections, services, engines and
// agents fail at random; the stand-ins' counts judge what callers were told.
func TestRandomFaults(t *testing.T) {
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { randomRun(t, seed) })
	}
}

// verdicts holds the last word on each key.
type verdicts struct {
	mu    sync.Mutex
	last  map[string]answer
	tally map[string]int
}

func (v *verdicts) add(kind string, a answer, key string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tally[kind+" "+a.run()]++
	if key != "" {
		v.last[key] = a
	}
}

func randomRun(t *testing.T, seed uint64) {
	b := newBed(t, bedSize{entries: 2, services: 2, engines: 2, callTime: 20 * time.Millisecond, engine: []standin.EngineOption{standin.TokenTime(2 * time.Millisecond)}})
	v := &verdicts{last: map[string]answer{}, tally: map[string]int{}}
	ctx, cancel := context.WithTimeout(t.Context(), *length)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { breakThings(ctx, b, rand.New(rand.NewPCG(seed, 0))) })
	for caller := range 12 {
		random := rand.New(rand.NewPCG(seed, uint64(caller+1)))
		group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				oneRequest(t, b, v, random, fmt.Sprintf("key-%d-%d", caller, n))
			}
		})
	}
	group.Wait()
	judge(t, b, v)
	t.Logf("seed %d: %v", seed, v.tally)
}

// oneRequest sends one request of any kind, bookings again until their end is known or the caller gives up.
func oneRequest(t *testing.T, b *bed, v *verdicts, random *rand.Rand, key string) {
	deadline := 200*time.Millisecond + time.Duration(random.IntN(3000))*time.Millisecond
	switch random.IntN(3) {
	case 0:
		v.add("look-up", b.lookUp(t.Context(), random.IntN(2), deadline), "")
	case 1:
		got := b.chat(t.Context(), random.IntN(2), strings.TrimSpace(strings.Repeat("word ", 40)), random.IntN(2) == 0, deadline)
		v.add("chat", got, "")
		if words := strings.Count(got.body, "word"); got.err == nil && got.status == 200 && words != 40 {
			t.Errorf("%d words of 40: %s", words, got.body)
		}
	case 2:
		for range 1 + random.IntN(4) {
			ctx, cancel := context.WithCancel(t.Context())
			if random.IntN(4) == 0 {
				// The caller leaves in the middle.
				time.AfterFunc(time.Duration(random.IntN(60))*time.Millisecond, cancel)
			}
			got := b.book(ctx, random.IntN(2), key, deadline)
			cancel()
			v.add("booking", got, key)
			if got.run() == "Answered" || got.run() == "Ran" || got.run() == "NotRun" && random.IntN(2) == 0 {
				return
			}
		}
	}
}

// judge compares each key's last answer with what ran.
func judge(t *testing.T, b *bed, v *verdicts) {
	for key, last := range v.last {
		runs := b.runs(key)
		switch {
		case runs > 1:
			t.Errorf("%s ran %d times", key, runs)
		case last.run() == "NotRun" && runs != 0:
			t.Errorf("%s was told NotRun and ran: %v", key, last.err)
		case (last.run() == "Ran" || last.run() == "Answered" && last.status == 200) && runs != 1:
			t.Errorf("%s was told %s and ran %d times", key, last.run(), runs)
		case last.run() == "Answered" && last.status == 200 && !strings.Contains(last.body, key):
			t.Errorf("%s got another answer: %s", key, last.body)
		}
	}
	for i, e := range b.entries {
		if d := e.Dump(); d.Open != 0 || d.Admitted != d.Answered+d.Refused {
			t.Errorf("entry %d: %d open, admitted %d, answered %d, refused %d", i, d.Open, d.Admitted, d.Answered, d.Refused)
		}
	}
}

// breakThings imposes one fault after another.
func breakThings(ctx context.Context, b *bed, random *rand.Rand) {
	faults := []standin.Fault{{LoseAnswer: true}, {ResetAfter: 1 + random.IntN(5)}, {Refuse: true}, {StallOpen: true}, {Slow: 5}}
	for ctx.Err() == nil {
		address := b.agents[random.IntN(len(b.agents))].settings.Listen
		if random.IntN(4) == 0 {
			address = b.control
		}
		hold := time.Duration(50+random.IntN(250)) * time.Millisecond
		switch random.IntN(8) {
		case 0:
			b.links.reset(address)
		case 1:
			b.links.silence(address)
		case 2:
			b.links.silenceIn(address)
		case 3:
			b.links.silenceOut(address)
		case 4:
			b.links.refuse(address, true)
			b.links.reset(address)
			sleep(ctx, hold)
			b.links.refuse(address, false)
		case 5:
			one := b.services[random.IntN(len(b.services))]
			one.SetFault(faults[random.IntN(len(faults))])
			sleep(ctx, hold)
			one.SetFault(standin.Fault{})
		case 6:
			one := b.engines[random.IntN(len(b.engines))]
			one.SetFault(faults[random.IntN(len(faults))])
			sleep(ctx, hold)
			one.SetFault(standin.Fault{})
		case 7:
			if random.IntN(3) == 0 {
				b.restart(random.IntN(len(b.agents)))
			}
		}
		sleep(ctx, hold)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
