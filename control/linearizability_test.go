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

// catalogRequest is an operation on the catalog; for a read, preset is empty.
type catalogRequest struct {
	base   uint64
	preset string
}

// catalogResponse is the result that an operator received; unknown is set for a change that may or may not have
// been accepted.
type catalogResponse struct {
	version  uint64
	preset   string
	accepted bool
	unknown  bool
}

type catalogRegister struct {
	version uint64
	preset  string
}

var catalogModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{catalogRegister{version: 1, preset: "Ordinary"}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(catalogRegister), input.(catalogRequest), output.(catalogResponse)
		changed := catalogRegister{version: s.version + 1, preset: in.preset}
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

// operationHistory records the operations of concurrent operators and their results, ordered by a counter.
type operationHistory struct {
	clock      atomic.Int64
	mu         sync.Mutex
	operations []porcupine.Operation
}

func (h *operationHistory) add(client int, call int64, in catalogRequest, out catalogResponse) {
	end := h.clock.Add(1)
	if out.unknown {
		end = 1 << 62 // may still take effect at any later time
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{ClientId: client, Input: in, Call: call, Output: out, Return: end})
}

// TestCatalogLinearizable runs concurrent operators against all members while leaders change, members are
// isolated and replies are dropped, and checks that the history is linearizable.
func TestCatalogLinearizable(t *testing.T) {
	seeds := uint64(20)
	if testing.Short() {
		seeds = 4
	}
	checkLinearizable(t, seeds, func(t *testing.T) *testGroup { return newTestGroup(t, 3) }, injectFaults)
}

func checkLinearizable(t *testing.T, seeds uint64, start func(*testing.T) *testGroup, injectFaults func(context.Context, *testGroup, *rand.Rand)) {
	t.Helper()
	accepted, refused, unknown := 0, 0, 0
	for seed := range seeds {
		h := &operationHistory{}
		runSynctest(t, func(t *testing.T) { recordOperations(t, start(t), injectFaults, seed, h) })
		if result := porcupine.CheckOperationsTimeout(catalogModel.ToModel(), h.operations, time.Minute); result != porcupine.Ok {
			t.Errorf("seed %d: %s", seed, result)
		}
		for _, operation := range h.operations {
			out := operation.Output.(catalogResponse)
			switch {
			case operation.Input.(catalogRequest).preset == "":
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
		t.Error("the histories contain no conflicting changes")
	}
}

func recordOperations(t *testing.T, g *testGroup, injectFaults func(context.Context, *testGroup, *rand.Rand), seed uint64, h *operationHistory) {
	t.Helper()
	defer g.close()
	g.setInitialCatalog()
	ctx, cancel := context.WithCancel(t.Context())
	faultsEnded := make(chan struct{})
	go func() {
		defer close(faultsEnded)
		injectFaults(ctx, g, rand.New(rand.NewPCG(seed, 99)))
	}()
	var operators sync.WaitGroup
	for client := range 4 {
		operators.Go(func() {
			runOperator(t.Context(), g, client, rand.New(rand.NewPCG(seed, uint64(client))), h)
		})
	}
	operators.Wait()
	cancel()
	<-faultsEnded
}

// injectFaults changes the leader, isolates one member at a time and drops replies.
func injectFaults(ctx context.Context, g *testGroup, random *rand.Rand) {
	for ctx.Err() == nil {
		leader, isolated := g.names[random.IntN(3)], random.IntN(4)
		g.updateFaults(func() { g.leader, g.dropReplies = leader, random.IntN(3) == 0 })
		for i, name := range g.names {
			g.network.SetIsolated(name, i == isolated && name != leader)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(100+random.IntN(1500)) * time.Millisecond):
		}
	}
}

// runOperator reads and changes the catalog through random members and retries under the same operation id
// after a lost reply.
func runOperator(ctx context.Context, g *testGroup, client int, random *rand.Rand, h *operationHistory) {
	base := uint64(1)
	for i := range 8 {
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
		call := h.clock.Add(1)
		if seen, err := g.members[g.names[random.IntN(3)]].readWithTimeout(ctx); err == nil {
			h.add(client, call, catalogRequest{}, catalogResponse{version: seen.Version, preset: seen.Preset})
			base = seen.Version
		}
		in := catalogRequest{base: base, preset: []string{"Ordinary", "Peak"}[random.IntN(2)]}
		call = h.clock.Add(1)
		out := catalogResponse{unknown: true}
		for range 2 {
			result, err := g.members[g.names[random.IntN(3)]].ChangeCatalog(ctx, "o"+strconv.Itoa(client), strconv.Itoa(i), in.base, catalog.Change{Preset: in.preset})
			if err == nil {
				out = catalogResponse{version: result.GetCatalogVersion(), accepted: result.GetErrorCode() == ""}
				break
			}
		}
		h.add(client, call, in, out)
	}
}

func (m *Member) readWithTimeout(ctx context.Context) (catalog.Catalog, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return m.Read(ctx)
}
