package steward

import (
	"bytes"
	"context"
	"fmt"
	"io/fs"
	"path/filepath"
	"runtime"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/endpoint"
	"burdocksaddle/route"
	"burdocksaddle/wire"
	"burdocksaddle/wirepb"
)

// Limits of the platform's core VMs.
const (
	vmDiskBytes   = 128 << 20
	vmMemoryBytes = 280 << 20
)

// decodeVersion decodes only the version of a rawTable.
func decodeVersion(raw []byte) (*route.Table, error) {
	var version uint64
	if _, err := fmt.Sscanf(string(raw[:min(len(raw), 40)]), "version %d:", &version); err != nil {
		return nil, err
	}
	return route.New(version, nil, nil, route.Limits{})
}

// startSteward starts a group of one steward. With dir "" its log is in memory.
func startSteward(t *testing.T, dir string) (*Steward, context.Context) {
	t.Helper()
	return startStewardWithList(t, dir, func(context.Context) ([]endpoint.State, int, error) { return nil, 0, nil })
}

// startStewardWithList starts a group of one steward that reads the list of endpoints with a function.
func startStewardWithList(t *testing.T, dir string, list func(context.Context) ([]endpoint.State, int, error)) (*Steward, context.Context) {
	t.Helper()
	pool := wire.NewPool()
	s, err := Open(Config{Name: "s", Address: "127.0.0.1:1", DataDir: dir, Peers: []string{"127.0.0.1:1"}, FirstStart: true}, pool,
		WithTableDecoder(decodeVersion), WithListEndpoints(list))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := s.Run(ctx)
	t.Cleanup(func() {
		cancel()
		pool.Close()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return s, ctx
}

// commitTable commits a table, once the steward leads.
func commitTable(ctx context.Context, t *testing.T, s *Steward, raw []byte, version uint64) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; {
		err := s.CommitTable(ctx, raw, version)
		if err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("version %d: %v", version, err)
		}
	}
}

// TestLargeTablesFillNeitherDiskNorMemory commits as many tables as an operator may send in a day.
func TestLargeTablesFillNeitherDiskNorMemory(t *testing.T) {
	const versions, tableBytes = 250, 770_000
	dir := t.TempDir()
	s, ctx := startSteward(t, dir)
	routes := bytes.TrimPrefix(rawTable(0, tableBytes), []byte("version 0:"))
	before, largest := heapBytes(), int64(0)
	for version := uint64(1); version <= versions; version++ {
		commitTable(ctx, t, s, append(fmt.Appendf(nil, "version %d:", version), routes...), version)
		largest = max(largest, dirBytes(t, dir))
	}
	held := heapBytes() - before
	t.Logf("%d MB of disk, %d MB of memory", largest>>20, held>>20)
	if held > vmMemoryBytes/2 {
		t.Errorf("%d MB of memory held, at most %d allowed", held>>20, vmMemoryBytes>>21)
	}
	if largest > vmDiskBytes {
		t.Errorf("%d MB of disk used, %d available", largest>>20, vmDiskBytes>>20)
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func dirBytes(t *testing.T, dir string) (total int64) {
	t.Helper()
	err := filepath.WalkDir(dir, func(_ string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return nil // a file that is removed meanwhile takes no space
		}
		if info, err := entry.Info(); err == nil {
			total += info.Size()
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return total
}

// TestForwardedTableIsNotCommittedTwice forwards a table to the leader again, as a steward that has not applied it yet does when an
// operator sends it a second time.
func TestForwardedTableIsNotCommittedTwice(t *testing.T) {
	s, ctx := startSteward(t, "")
	commitTable(ctx, t, s, rawTable(1, 100), 1)
	applied := s.quorumLog.Applied()
	reply := s.handleTableChange(ctx, &wirepb.TableChange{Table: rawTable(1, 100), Version: 1}).GetTableChangeReply()
	if !reply.GetCommitted() {
		t.Errorf("not acknowledged: %s", reply.GetError())
	}
	if diff := cmp.Diff(applied, s.quorumLog.Applied()); diff != "" {
		t.Errorf("applied entries: %s", diff)
	}
}
