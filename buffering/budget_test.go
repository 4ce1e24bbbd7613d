package buffering

import (
	"testing"

	"pgregory.net/rapid"
)

// TestBudgetOfTodaysMachines guards against a budget that, on the machines of 284 MB and more, keeps fewer response bodies than the 48 MB
// that were allowed before it, and against one larger than a quarter of the memory.
func TestBudgetOfTodaysMachines(t *testing.T) {
	for memoryMB, wantBodiesMB := range map[int]int{0: 48, 144: 24, 284: 48, 424: 48} {
		b := NewBudget(memoryMB)
		if got := b.share[ResponseBodies] / mebibyte; got != wantBodiesMB {
			t.Errorf("%d MB: %d MB for response bodies, want %d", memoryMB, got, wantBodiesMB)
		}
		if memoryMB > 0 && b.Limit() != memoryMB*mebibyte/4 {
			t.Errorf("%d MB: a budget of %d bytes", memoryMB, b.Limit())
		}
	}
}

// TestShares guards against one use taking up the memory that the others need: slow clients and request bodies alone neither refuse new
// requests nor long responses.
func TestShares(t *testing.T) {
	for _, use := range []Use{RequestBodies, ReadAhead} {
		b := NewBudget(144)
		for b.Reserve(use, MaxReadAhead) {
		}
		if !b.Admits() || !b.Reserve(ResponseBodies, 8*mebibyte) {
			t.Errorf("%v: %d of %d bytes used, no room for others", use, b.Total(), b.Limit())
		}
		if use == ReadAhead && b.MayQueue(1, 1) {
			t.Errorf("reads ahead beyond its share")
		}
	}
}

// TestBudgetIsKept draws uses and checks that what is counted beyond the limit consists of small items only, that no stream is read ahead
// beyond MaxReadAhead, and that everything is available again after it was released.
func TestBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type item struct {
			use   Use
			bytes int
		}
		b, small := NewBudget(rapid.IntRange(1, 424).Draw(t, "MB")), 0
		var held []item
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				i := item{Use(rapid.IntRange(0, int(uses)-1).Draw(t, "use")), rapid.IntRange(0, 20*mebibyte).Draw(t, "bytes")}
				if b.Reserve(i.use, i.bytes) {
					held = append(held, i)
				}
			},
			"hold": func(t *rapid.T) {
				i := item{Use(rapid.IntRange(0, int(uses)-1).Draw(t, "use")), rapid.IntRange(0, 2*SmallBytes).Draw(t, "bytes")}
				admits := b.Admits()
				if b.Hold(i.use, i.bytes) {
					held = append(held, i)
				} else if i.bytes <= SmallBytes && (admits || i.use != RequestBodies) {
					t.Fatal("a small item was not accepted")
				}
			},
			"release": func(t *rapid.T) {
				if len(held) == 0 {
					t.Skip("nothing is held")
				}
				n := rapid.IntRange(0, len(held)-1).Draw(t, "n")
				b.Release(held[n].use, held[n].bytes)
				held = append(held[:n], held[n+1:]...)
			},
			"": func(t *rapid.T) {
				total := 0
				small = 0
				for _, i := range held {
					total += i.bytes
					if i.bytes <= SmallBytes {
						small += i.bytes
					}
				}
				if b.Total() != total || total-small > b.Limit() {
					t.Fatalf("%d bytes counted, %d held, %d of them small, limit %d", b.Total(), total, small, b.Limit())
				}
				if b.MayQueue(MaxReadAhead, 1) || total > b.Limit() && b.MayQueue(1, 1) {
					t.Fatal("reads ahead beyond the limit")
				}
			},
		})
	})
}
