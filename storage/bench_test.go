package storage_test

import (
	"fmt"
	"path/filepath"
	"runtime"
	"testing"

	"burdocksaddle/consensus"
	"burdocksaddle/storage"
)

const (
	changeBytes  = 200
	tailEntries  = 1000
	stateChanges = 1000
)

// BenchmarkRestart opens a data directory after many changes. They are either all in the log or covered by a snapshot
// followed by a short log; the snapshot is as large as the last 1,000 changes.
func BenchmarkRestart(b *testing.B) {
	for _, changes := range []int{1_000, 10_000, 100_000} {
		for _, snapshot := range []bool{false, true} {
			b.Run(fmt.Sprintf("changes=%d/snapshot=%v", changes, snapshot), func(b *testing.B) {
				dir := filepath.Join(b.TempDir(), "data")
				fill(b, dir, changes, snapshot)
				var before, after runtime.MemStats
				var cores []*consensus.Core
				runtime.GC()
				runtime.ReadMemStats(&before)
				for b.Loop() {
					s, state, err := storage.Open(dir)
					if err != nil {
						b.Fatal(err)
					}
					s.Close()
					core, err := consensus.New(consensus.DefaultConfig(7, 1), state.Hard, state.Snapshot, state.Entries)
					if err != nil {
						b.Fatal(err)
					}
					cores = append(cores[:0], core)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/(1<<20), "MB-held")
				b.ReportMetric(float64(cores[0].Status().Last), "last-index")
			})
		}
	}
}

func fill(b *testing.B, dir string, changes int, snapshot bool) {
	b.Helper()
	s, err := storage.Create(dir, testIdentity)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	data := string(make([]byte, changeBytes))
	const batchEntries = 100
	for first := 1; first <= changes; first += batchEntries {
		var batch storage.Batch
		batch.Hard = &consensus.HardState{Term: 1}
		for i := range batchEntries {
			batch.Entries = append(batch.Entries, newEntry(1, uint64(first+i), data))
		}
		if err := s.Append(batch); err != nil {
			b.Fatal(err)
		}
		if at := changes - tailEntries; snapshot && at > 0 && first+batchEntries-1 == at {
			state := make([]byte, stateChanges*changeBytes)
			if err := s.SaveSnapshot(consensus.Snapshot{Index: uint64(at), Term: 1, State: state}); err != nil {
				b.Fatal(err)
			}
		}
	}
}
