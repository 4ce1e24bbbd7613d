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

	"burdocksaddle/endpoint"
	"burdocksaddle/route"
	"burdocksaddle/wire"
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

// TestLargeTablesFillNeitherDiskNorMemory commits as many tables as an operator may send in a day.
func TestLargeTablesFillNeitherDiskNorMemory(t *testing.T) {
	const versions, tableBytes = 250, 770_000
	dir := t.TempDir()
	pool := wire.NewPool()
	defer pool.Close()
	s, err := Open(Config{Name: "s", Address: "127.0.0.1:1", DataDir: dir, Peers: []string{"127.0.0.1:1"}, FirstStart: true}, pool,
		WithTableDecoder(decodeVersion), WithListEndpoints(func(context.Context) ([]endpoint.State, int, error) { return nil, 0, nil }))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := s.Run(ctx)
	routes := bytes.TrimPrefix(rawTable(0, tableBytes), []byte("version 0:"))
	before, largest := heapBytes(), int64(0)
	for version := uint64(1); version <= versions; version++ {
		for end := time.Now().Add(10 * time.Second); ; {
			err := s.CommitTable(ctx, append(fmt.Appendf(nil, "version %d:", version), routes...), version)
			if err == nil {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("version %d: %v", version, err)
			}
		}
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
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
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
