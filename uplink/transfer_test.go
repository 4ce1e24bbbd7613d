package uplink

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/delta"
	"burdocksaddle/memnet"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

// fakeSteward serves one uplink. It announces version and answers each query by answer.
type fakeSteward struct {
	address string

	mu      sync.Mutex
	answer  func(q *wirepb.TableQuery, stream *wire.Stream)
	version uint64
	changed chan struct{}
	// queries are the bases of the queries that were received, and the times since the steward's start.
	queries []query
	start   time.Time
}

type query struct {
	Base uint64
	At   time.Duration
}

func (s *fakeSteward) announce(version uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version = version
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeSteward) subscribe(ctx context.Context, _ *wirepb.Subscribe, stream *wire.Stream) {
	for ctx.Err() == nil {
		s.mu.Lock()
		version, changed := s.version, s.changed
		s.mu.Unlock()
		snapshot := &wirepb.Snapshot{Version: version}
		if stream.Send(&wirepb.Frame{Body: &wirepb.Frame_Snapshot{Snapshot: snapshot}}, time.Second) != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(500 * time.Millisecond):
		}
	}
}

func (s *fakeSteward) query(_ context.Context, q *wirepb.TableQuery, stream *wire.Stream) {
	s.mu.Lock()
	s.queries = append(s.queries, query{q.GetBase(), time.Since(s.start)})
	answer := s.answer
	s.mu.Unlock()
	answer(q, stream)
}

func (s *fakeSteward) setAnswer(answer func(q *wirepb.TableQuery, stream *wire.Stream)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

func (s *fakeSteward) received() []query {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]query{}, s.queries...)
}

// rawTable is the content of a version.
func rawTable(version uint64) []byte {
	return fmt.Appendf(nil, "the operator's table in its version %d", version)
}

// send sends the newest version in parts of a few bytes, with a pause before each.
func (s *fakeSteward) send(base uint64, stream *wire.Stream, pause time.Duration) {
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	var baseRaw []byte
	if base > 0 {
		baseRaw = rawTable(base)
	}
	encoded, err := delta.Encode(baseRaw, rawTable(version))
	if err != nil {
		panic(err)
	}
	const partBytes = 10
	for sent := 0; sent < len(encoded); sent += partBytes {
		time.Sleep(pause)
		part := &wirepb.TablePart{
			Version: version, Base: base, Data: encoded[sent:min(len(encoded), sent+partBytes)], EncodedBytes: uint64(len(encoded)),
			Checksum: delta.Checksum(rawTable(version)),
		}
		if stream.Send(&wirepb.Frame{Body: &wirepb.Frame_TablePart{TablePart: part}}, time.Second) != nil {
			return
		}
	}
}

// tablesReceived collects the versions that an uplink passes on.
type tablesReceived struct {
	mu       sync.Mutex
	versions []uint64
	wrong    []string
}

func (r *tablesReceived) handle(t Table) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions = append(r.versions, t.Version)
	if diff := cmp.Diff(string(rawTable(t.Version)), string(t.Raw)); diff != "" {
		r.wrong = append(r.wrong, diff)
	}
	return nil
}

func (r *tablesReceived) all() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]uint64{}, r.versions...)
}

// runWithStewards runs a test in a synctest bubble with an uplink to stewards that send their tables completely and at once unless the
// test changes that.
func runWithStewards(t *testing.T, stewards int, test func(t *testing.T, stewards []*fakeSteward, received *tablesReceived)) {
	t.Helper()
	runtime.GC() // yamux pools timers, which must not come from an earlier bubble
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		network, received := memnet.New(), &tablesReceived{}
		ctx, cancel := context.WithCancel(t.Context())
		var all []*fakeSteward
		var addresses []string
		var served []<-chan error
		for n := range stewards {
			s := &fakeSteward{address: fmt.Sprintf("s%d:1", n), changed: make(chan struct{}), start: time.Now()}
			s.setAnswer(func(q *wirepb.TableQuery, stream *wire.Stream) { s.send(q.GetBase(), stream, 0) })
			listener, err := network.Listen(ctx, s.address)
			if err != nil {
				t.Fatal(err)
			}
			served = append(served, wire.Serve(ctx, listener, wire.Handlers{Subscribe: s.subscribe, TableQuery: s.query}))
			all, addresses = append(all, s), append(addresses, s.address)
		}
		pool := wire.NewPool(wire.WithDial(network.DialFrom("gateway")))
		ended := New("gateway", addresses, pool, WithTableHandler(received.handle)).Run(ctx)
		time.Sleep(time.Second)
		test(t, all, received)
		cancel()
		pool.Close()
		for _, end := range append(served, ended) {
			if err := <-end; err != nil {
				t.Error(err)
			}
		}
		if diff := cmp.Diff([]string(nil), received.wrong); diff != "" {
			t.Errorf("a table differs from what was sent: %s", diff)
		}
	})
}

func TestNewVersionsDoNotStartSecondTransfer(t *testing.T) {
	runWithStewards(t, 3, func(t *testing.T, stewards []*fakeSteward, received *tablesReceived) {
		open, most := 0, 0
		var mu sync.Mutex
		for _, s := range stewards {
			s.setAnswer(func(q *wirepb.TableQuery, stream *wire.Stream) {
				mu.Lock()
				open++
				most = max(most, open)
				mu.Unlock()
				s.send(q.GetBase(), stream, 300*time.Millisecond) // several versions long
				mu.Lock()
				open--
				mu.Unlock()
			})
		}
		for version := range uint64(9) {
			for _, s := range stewards {
				s.announce(version + 1)
			}
			time.Sleep(200 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		mu.Lock()
		defer mu.Unlock()
		if most != 1 {
			t.Errorf("%d transfers at the same time", most)
		}
		if versions := received.all(); versions[len(versions)-1] != 9 {
			t.Errorf("versions received: %v", versions)
		}
	})
}

func TestSilentStewardIsReplacedByAnother(t *testing.T) {
	runWithStewards(t, 2, func(t *testing.T, stewards []*fakeSteward, received *tablesReceived) {
		stewards[0].setAnswer(func(*wirepb.TableQuery, *wire.Stream) { time.Sleep(5 * time.Second) })
		stewards[0].announce(1)
		time.Sleep(10 * time.Millisecond)
		stewards[1].announce(1)
		time.Sleep(transferTimeout + 300*time.Millisecond)
		if diff := cmp.Diff([]uint64{1}, received.all()); diff != "" {
			t.Errorf("versions received: %s", diff)
		}
	})
}

func TestRepeatedTransfersBecomeRarer(t *testing.T) {
	runWithStewards(t, 1, func(t *testing.T, stewards []*fakeSteward, _ *tablesReceived) {
		stewards[0].setAnswer(func(*wirepb.TableQuery, *wire.Stream) { time.Sleep(time.Minute) })
		stewards[0].announce(1)
		time.Sleep(20 * time.Second)
		queries := stewards[0].received()
		if limit := int(20*time.Second/maxTransferTimeout) + 2; len(queries) > limit || len(queries) < 5 {
			t.Errorf("%d queries in 20 s, want 5 to %d: %v", len(queries), limit, queries)
		}
	})
}

func TestTransferIsBasedOnCurrentTable(t *testing.T) {
	runWithStewards(t, 1, func(t *testing.T, stewards []*fakeSteward, received *tablesReceived) {
		for _, version := range []uint64{3, 4, 7} {
			stewards[0].announce(version)
			time.Sleep(time.Second)
		}
		var bases []uint64
		for _, q := range stewards[0].received() {
			bases = append(bases, q.Base)
		}
		if diff := cmp.Diff([][]uint64{{0, 3, 4}, {3, 4, 7}}, [][]uint64{bases, received.all()}); diff != "" {
			t.Errorf("bases and versions: %s", diff)
		}
	})
}

func TestCompleteTableAfterUnusableDelta(t *testing.T) {
	runWithStewards(t, 1, func(t *testing.T, stewards []*fakeSteward, received *tablesReceived) {
		stewards[0].announce(1)
		time.Sleep(time.Second)
		stewards[0].setAnswer(func(q *wirepb.TableQuery, stream *wire.Stream) {
			if q.GetBase() == 0 {
				stewards[0].send(0, stream, 0)
				return
			}
			part := &wirepb.TablePart{Version: 2, Base: q.GetBase(), Data: []byte("not an encoding"), EncodedBytes: 15}
			_ = stream.Send(&wirepb.Frame{Body: &wirepb.Frame_TablePart{TablePart: part}}, time.Second)
		})
		stewards[0].announce(2)
		time.Sleep(2 * time.Second)
		if diff := cmp.Diff([]uint64{1, 2}, received.all()); diff != "" {
			t.Errorf("versions received: %s", diff)
		}
	})
}

func TestStewardWithOlderTableIsNotUsed(t *testing.T) {
	runWithStewards(t, 2, func(t *testing.T, stewards []*fakeSteward, received *tablesReceived) {
		stewards[0].announce(5)
		time.Sleep(time.Second)
		stewards[1].announce(4)
		time.Sleep(5 * time.Second)
		if diff := cmp.Diff([]uint64{5}, received.all()); diff != "" {
			t.Errorf("versions received: %s", diff)
		}
		if diff := cmp.Diff([]query{}, stewards[1].received()); diff != "" {
			t.Errorf("queries to the steward with the older table: %s", diff)
		}
	})
}
