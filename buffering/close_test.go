package buffering

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Connections as they are found under pressure.
var (
	ordinarySending = Holding{Phase: Sending, For: 20 * time.Millisecond, Moved: 900, Bytes: 80 << 10}
	ordinaryUpload  = Holding{Phase: Sending, For: 2 * time.Second, Moved: 3 << 20, Bytes: 3 << 20}
	ordinaryIdle    = Holding{Phase: Idle, For: 3 * time.Second, Bytes: ConnBytes}
	ordinaryWaiting = Holding{Phase: Waiting, For: 20 * time.Second, Bytes: 4 << 20}
	ordinaryReading = Holding{Phase: Unread, For: 600 * time.Millisecond, Bytes: 80 << 10}
	session         = Holding{Phase: Peer, For: time.Hour, Bytes: 8 << 20}

	halfHead     = Holding{Phase: Sending, For: 3 * time.Second, Moved: 8 << 10, Bytes: 700 << 10}
	almostWhole  = Holding{Phase: Sending, For: 300 * time.Second, Moved: 4<<20 - 1, Bytes: 4 << 20}
	trickled     = Holding{Phase: Sending, For: 30 * time.Second, Moved: 300, Bytes: 20 << 10}
	readsNothing = Holding{Phase: Unread, For: 4 * time.Second, Bytes: 300 << 10}
	longIdle     = Holding{Phase: Idle, For: time.Minute, Bytes: ConnBytes}
	refused      = Holding{Phase: Refused, For: 300 * time.Millisecond, Bytes: 300 << 10}
	longRefused  = Holding{Phase: Refused, For: 2 * time.Second, Bytes: 300 << 10}
	freshHead    = Holding{Phase: Sending, For: 200 * time.Millisecond, Moved: 16 << 10, Bytes: 700 << 10}
)

// TestFirstForDescriptor checks which connection makes room for another client.
func TestFirstForDescriptor(t *testing.T) {
	for name, test := range map[string]struct {
		all  []Holding
		want int
	}{
		"there is none":                                  {nil, -1},
		"requests in progress and sessions stay":         {[]Holding{ordinaryWaiting, session}, -1},
		"the one furthest behind of late clients":        {[]Holding{halfHead, ordinaryIdle, trickled, readsNothing}, 2},
		"a client that reads nothing before an idle one": {[]Holding{longIdle, readsNothing, ordinaryWaiting}, 1},
		"the one that was idle for longest":              {[]Holding{ordinaryIdle, longIdle, ordinaryUpload}, 1},
		"an idle one before an upload in time":           {[]Holding{ordinaryUpload, ordinaryIdle}, 1},
		"a refused one before an idle one":               {[]Holding{ordinarySending, longIdle, refused}, 2},
		"one that was refused long ago first":            {[]Holding{ordinarySending, refused, longRefused}, 2},
		"an ordinary request last":                       {[]Holding{ordinarySending, freshHead}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			if got := FirstForDescriptor(test.all); got != test.want {
				t.Errorf("%d, want %d", got, test.want)
			}
		})
	}
}

// TestFirstForMemory checks which connections make room for ordinary requests.
func TestFirstForMemory(t *testing.T) {
	all := []Holding{ordinarySending, ordinaryUpload, ordinaryIdle, ordinaryWaiting, halfHead, almostWhole, longIdle, freshHead, ordinaryReading, session, refused, longRefused}
	for name, test := range map[string]struct {
		bytes    int
		onlyLate bool
		want     []int
	}{
		"nothing is needed":             {0, false, nil},
		"the late client with most":     {1, false, []int{5}},
		"late clients first":            {4<<20 + 1, false, []int{5, 4}},
		"then those with most":          {5<<20 + 1, false, []int{5, 4, 11, 1}},
		"all but requests and idle":     {1 << 40, false, []int{5, 4, 11, 1, 7, 0, 8}},
		"late ones only, if that is it": {1 << 40, true, []int{5, 4, 11}},
	} {
		t.Run(name, func(t *testing.T) {
			var got []int
			if got = append(got, FirstForMemory(all, test.bytes, test.onlyLate)...); !cmp.Equal(test.want, got) {
				t.Error(cmp.Diff(test.want, got))
			}
		})
	}
}

// TestOrdinaryClientsAreClosedLast draws crowds of late clients around ordinary ones: as long as the crowd holds enough, no ordinary client is
// closed, whatever is needed.
func TestOrdinaryClientsAreClosedLast(t *testing.T) {
	ordinary := []Holding{ordinarySending, ordinaryUpload, ordinaryIdle, ordinaryWaiting, ordinaryReading, session}
	rapid.Check(t, func(t *rapid.T) {
		all := slices.Clone(ordinary)
		held := 0
		for range rapid.IntRange(1, 50).Draw(t, "crowd") {
			h := rapid.SampledFrom([]Holding{halfHead, almostWhole, trickled, readsNothing, longRefused}).Draw(t, "client")
			h.For += time.Duration(rapid.IntRange(0, 60_000).Draw(t, "ms")) * time.Millisecond
			held += h.Bytes
			all = append(all, h)
		}
		if first := FirstForDescriptor(all); first < len(ordinary) {
			t.Fatalf("ordinary client %d is closed", first)
		}
		need, released := rapid.IntRange(1, held).Draw(t, "bytes"), 0
		for _, i := range FirstForMemory(all, need, rapid.Bool().Draw(t, "only late")) {
			if i < len(ordinary) {
				t.Fatalf("ordinary client %d is closed", i)
			}
			released += all[i].Bytes
		}
		if released < need {
			t.Fatalf("%d bytes of %d are released", released, need)
		}
	})
}
