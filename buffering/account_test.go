package buffering

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestLimitsOfTodaysMachines guards against limits that clients inside the documented limits reach: the machines in use must keep a thousand
// connections open and have a thousand requests in progress, as in TestThousandSlowReaders.
func TestLimitsOfTodaysMachines(t *testing.T) {
	for _, machine := range []struct{ memoryMB, descriptors int }{{144, 3075}, {184, 4100}, {184, 4200}, {284, 4100}, {280, 4096}, {424, 4100}, {0, 0}} {
		l := NewLimits(machine.memoryMB, machine.descriptors)
		if l.Conns < 1000 || l.Sockets-l.Conns < 900 {
			t.Errorf("%+v: %+v", machine, l)
		}
		if machine.memoryMB > 0 && (l.Bytes > machine.memoryMB*mebibyte/2 || l.Sockets > machine.descriptors-reservedDescriptors) {
			t.Errorf("%+v: more than the machine has: %+v", machine, l)
		}
	}
}

// TestAccountIsKept draws what clients hold and checks that only what has no choice exceeds the limits, and that everything is available again once
// it was returned.
func TestAccountIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAccount(NewLimits(rapid.IntRange(16, 424).Draw(t, "MB"), rapid.IntRange(300, 5000).Draw(t, "descriptors")))
		var taken []int
		conns, requests, bodies := 0, 0, 0
		const body = 40 << 10
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				if n := rapid.IntRange(0, mebibyte).Draw(t, "bytes"); a.Take(n) {
					taken = append(taken, n)
					if a.HeldBytes() > a.Limits().Bytes {
						t.Fatalf("%d bytes taken beyond the limit", n)
					}
				}
			},
			"return": func(t *rapid.T) {
				if len(taken) == 0 {
					t.Skip("nothing is taken")
				}
				a.Return(taken[0])
				taken = taken[1:]
			},
			"connect": func(*rapid.T) { a.Connect(); conns++ },
			"enter": func(t *rapid.T) {
				if a.Enter() {
					requests++
				} else if conns+requests < a.Limits().Sockets {
					t.Fatal("a request was refused although there is a descriptor")
				}
			},
			"hold": func(t *rapid.T) {
				if a.Hold(RequestBodies, body) {
					bodies++
					if a.HeldBytes() > a.Limits().Bytes {
						t.Fatal("a body was accepted beyond the limit")
					}
				}
			},
			"": func(t *rapid.T) {
				sum := conns*ConnBytes + bodies*body
				for _, n := range taken {
					sum += n
				}
				if a.HeldBytes() != sum || a.Conns() != conns || a.Requests() != requests {
					t.Fatalf("%d bytes, %d connections and %d requests are counted; there are %d, %d and %d", a.HeldBytes(), a.Conns(), a.Requests(), sum, conns, requests)
				}
			},
		})
		for range conns {
			a.Disconnect()
			a.Return(ConnBytes)
		}
		for range requests {
			a.Leave()
		}
		for range bodies {
			a.Release(RequestBodies, body)
		}
		for _, n := range taken {
			a.Return(n)
		}
		if a.HeldBytes() != 0 || a.Pressed() {
			t.Fatalf("%d bytes are left", a.HeldBytes())
		}
	})
}

// TestPressure checks when connections must be closed, of whom, and that what closed connections will release counts.
func TestPressure(t *testing.T) {
	type excess struct {
		Pressed   bool
		Any, Late int
	}
	limits := Limits{MemoryMB: 100, Bytes: 40 * mebibyte, Sockets: 1000, Conns: 500}
	for name, test := range map[string]struct {
		fill func(a *Account)
		want excess
	}{
		"nothing is held":                       {func(*Account) {}, excess{}},
		"below the high water mark":             {func(a *Account) { a.Take(33 * mebibyte) }, excess{}},
		"above it":                              {func(a *Account) { a.Take(36 * mebibyte) }, excess{true, 36*mebibyte - limits.Bytes/100*lowWater, 0}},
		"above it, but enough will be released": {func(a *Account) { a.Take(36 * mebibyte); a.Expect(8 * mebibyte) }, excess{}},
		"released as expected": {func(a *Account) {
			a.Take(36 * mebibyte)
			a.Expect(8 * mebibyte)
			a.Return(8 * mebibyte)
			a.Expect(-8 * mebibyte)
		}, excess{}},
		"request bodies use up their share": {func(a *Account) {
			for a.Hold(RequestBodies, mebibyte) {
			}
		}, excess{true, 0, 18*mebibyte - limits.MemoryMB*mebibyte/MemoryShare*3/4/100*lowWater}},
	} {
		t.Run(name, func(t *testing.T) {
			a := NewAccount(limits)
			test.fill(a)
			anyBytes, late := a.Excess()
			if diff := cmp.Diff(test.want, excess{a.Pressed(), anyBytes, late}); diff != "" {
				t.Error(diff)
			}
		})
	}
}
