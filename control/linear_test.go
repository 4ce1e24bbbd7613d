package control

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"burdocksaddle/catalog"
)

// request is one operation on the catalog; a read has no preset.
type request struct {
	base   uint64
	preset string
}

// response is what an operator learned; unknown is a change that may or may not be accepted.
type response struct {
	version  uint64
	preset   string
	accepted bool
	unknown  bool
}

type register struct {
	version uint64
	preset  string
}

var catalogModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{version: 1, preset: "Ordinary"}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(register), input.(request), output.(response)
		changed := register{version: s.version + 1, preset: in.preset}
		switch {
		case in.preset == "" && out.version == s.version && out.preset == s.preset:
			return []any{s}
		case in.preset == "":
			return nil
		case out.unknown && in.base == s.version:
			return []any{s, changed}
		case out.unknown:
			return []any{s}
		case out.accepted && in.base == s.version && out.version == changed.version:
			return []any{changed}
		case !out.accepted && in.base != s.version && out.version == s.version:
			return []any{s}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// history is what concurrent operators did and learned, ordered by a counter.
type history struct {
	clock      atomic.Int64
	mu         sync.Mutex
	operations []porcupine.Operation
}

func (h *history) add(client int, call int64, in request, out response) {
	end := h.clock.Add(1)
	if out.unknown {
		end = 1 << 62 // it may take effect at any later time
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

// TestCatalogLinearizable lets operators race through all members while leaders change, members are
// isolated and answers get lost, and checks the history.
func TestCatalogLinearizable(t *testing.T) {
	seeds := uint64(20)
	if testing.Short() {
		seeds = 4
	}
	checkHistories(t, seeds, func(t *testing.T) *group { return newGroup(t, 3) }, disturb)
}

func checkHistories(t *testing.T, seeds uint64, start func(*testing.T) *group, disturb func(context.Context, *group, *rand.Rand)) {
	t.Helper()
	accepted, refused, unknown := 0, 0, 0
	for seed := range seeds {
		h := &history{}
		bubble(t, func(t *testing.T) { race(t, start(t), disturb, seed, h) })
		if result := porcupine.CheckOperationsTimeout(catalogModel.ToModel(), h.operations, time.Minute); result != porcupine.Ok {
			t.Errorf("seed %d: %s", seed, result)
		}
		for _, operation := range h.operations {
			out := operation.Output.(response)
			switch {
			case operation.Input.(request).preset == "":
			case out.unknown:
				unknown++
			case out.accepted:
				accepted++
			default:
				refused++
			}
		}
	}
	t.Logf("%d seeds: %d accepted, %d refused, %d unknown", seeds, accepted, refused, unknown)
	if accepted == 0 || refused == 0 {
		t.Error("the histories hold no race")
	}
}

func race(t *testing.T, g *group, disturb func(context.Context, *group, *rand.Rand), seed uint64, h *history) {
	t.Helper()
	defer g.close()
	g.first()
	ctx, cancel := context.WithCancel(t.Context())
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		disturb(ctx, g, rand.New(rand.NewPCG(seed, 99)))
	}()
	var operators sync.WaitGroup
	for client := range 4 {
		operators.Go(func() {
			operate(t.Context(), g, client, rand.New(rand.NewPCG(seed, uint64(client))), h)
		})
	}
	operators.Wait()
	cancel()
	<-faults
}

// disturb moves the lead, isolates one member at a time and loses answers.
func disturb(ctx context.Context, g *group, random *rand.Rand) {
	for ctx.Err() == nil {
		leader, isolated := g.names[random.IntN(3)], random.IntN(4)
		g.with(func() { g.leader, g.loseAnswers = leader, random.IntN(3) == 0 })
		for i, name := range g.names {
			g.network.Isolate(name, i == isolated && name != leader)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(100+random.IntN(1500)) * time.Millisecond):
		}
	}
}

// operate reads and changes through random members, resending under one operation id after a lost answer.
func operate(ctx context.Context, g *group, client int, random *rand.Rand, h *history) {
	base := uint64(1)
	for i := range 8 {
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		call := h.clock.Add(1)
		if seen, err := g.members[g.names[random.IntN(3)]].read(ctx); err == nil {
			h.add(client, call, request{}, response{version: seen.Version, preset: seen.Preset})
			base = seen.Version
		}
		in := request{base: base, preset: []string{"Ordinary", "Peak"}[random.IntN(2)]}
		call = h.clock.Add(1)
		out := response{unknown: true}
		for range 2 {
			result, err := g.members[g.names[random.IntN(3)]].Change(ctx, "o"+strconv.Itoa(client), strconv.Itoa(i), in.base, catalog.Change{Preset: in.preset})
			if err == nil {
				out = response{version: result.GetCatalogVersion(), accepted: result.GetErrorCode() == ""}
				break
			}
		}
		h.add(client, call, in, out)
	}
}

func (m *Member) read(ctx context.Context) (catalog.Catalog, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return m.Read(ctx)
}
