package registers

import (
	"math/rand/v2"
	"testing"
	"time"
)

type operationCost struct {
	took     time.Duration
	messages int
	bytes    int
}

// measure runs one operation on a new network and returns its latency and everything it sent.
func measure(down []int, operation func(l *network, done func())) operationCost {
	n := newNetwork(down...)
	var took time.Duration
	operation(n, func() { took = n.now })
	n.run()
	return operationCost{took: took, messages: n.messages, bytes: n.bytes}
}

// TestCosts prints the table of docs/REGISTERS.md and checks the conclusions drawn from it there.
func TestCosts(t *testing.T) {
	const client = 12 // in the data centre of replica 2
	abdRead := func(optimistic bool, stale bool) func(*network, func()) {
		return func(l *network, done func()) {
			r := &abdRegister{network: l, size: catalogBytes, values: [replicas]versionedValue{{stamp: 1}, {stamp: 1}, {stamp: 1}}}
			if stale {
				r.values[2].stamp = 0
			}
			r.read(client, optimistic, func(versionedValue) { done() })
		}
	}
	operations := []struct {
		name string
		run  func(*network, func())
	}{
		{"read, ABD", abdRead(false, false)},
		{"read, optimistic ABD, no write", abdRead(true, false)},
		{"read, optimistic ABD, during a write", abdRead(true, true)},
		{"read, log, read index", func(l *network, done func()) { newReplicatedLog(l).read(client, 2, catalogBytes, done) }},
		{"read, log, pushed to the node", func(_ *network, done func()) { done() }},
		{"push of one change to the node", func(l *network, done func()) { l.send(2, client, changeBytes, done) }},
		{"claim, ABD write", func(l *network, done func()) {
			r := &abdRegister{network: l, size: claimBytes}
			r.write(client, "held", done) // the queried timestamps show whether the key is free
		}},
		{"claim, log", func(l *network, done func()) { newReplicatedLog(l).claim(client, func(bool) { done() }) }},
	}
	costs := map[string]operationCost{}
	for _, down := range [][]int{nil, {1}, {0}} {
		for _, operation := range operations {
			got := measure(down, operation.run)
			if len(down) == 0 {
				costs[operation.name] = got
			}
			t.Logf("down %v: %-38s %6.1f delays %3d messages %6d bytes", down, operation.name,
				float64(got.took)/float64(interCentreDelay), got.messages, got.bytes)
		}
	}
	if uncontended, index := costs["read, optimistic ABD, no write"], costs["read, log, read index"]; uncontended.took >= index.took || uncontended.bytes <= index.bytes {
		t.Errorf("optimistic ABD %+v against read index %+v", uncontended, index)
	}
	if pushed := costs["read, log, pushed to the node"]; pushed.messages > 0 {
		t.Errorf("pushed read costs %+v", pushed)
	}
	if register, log := costs["claim, ABD write"], costs["claim, log"]; register.took < log.took || register.messages <= log.messages {
		t.Errorf("claim by registers %+v against log %+v", register, log)
	}
}

// TestRacingClaims checks that two entries that claim the same key at nearly the same time may both succeed
// with registers, since both can find the key free, but only one succeeds with the log.
func TestRacingClaims(t *testing.T) {
	const pairs, seed = 1000, 11
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, seed))
	jitter := func() time.Duration { return time.Duration(random.IntN(2000)) * time.Microsecond }
	start := func() time.Duration { return time.Duration(random.IntN(20_000)) * time.Microsecond }
	byRegister, byLog := 0, 0
	for range pairs {
		won := 0
		r := &abdRegister{network: newNetwork(), size: claimBytes}
		r.jitter = jitter
		for _, client := range []int{11, 12} {
			r.after(start(), func() {
				r.query(client, 0, func(seen versionedValue, _ bool) {
					if seen.stamp == 0 {
						r.store(client, versionedValue{stamp: 1, writer: client, value: "held"}, func() { won++ })
					}
				})
			})
		}
		r.run()
		byRegister += max(0, won-1)
		won = 0
		l := newReplicatedLog(newNetwork())
		l.jitter = jitter
		for _, client := range []int{11, 12} {
			l.after(start(), func() {
				l.claim(client, func(first bool) {
					if first {
						won++
					}
				})
			})
		}
		l.run()
		byLog += max(0, won-1)
	}
	t.Logf("%d racing pairs: claimed twice %d times with registers, %d with the log", pairs, byRegister, byLog)
	if byRegister == 0 || byLog != 0 {
		t.Errorf("registers %d, log %d", byRegister, byLog)
	}
}
