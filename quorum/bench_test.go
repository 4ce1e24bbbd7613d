package quorum_test

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"burdocksaddle/quorum"
)

// BenchmarkCommits commits from 64 concurrent callers, with one fsync per batch and with one fsync per commit. Compare
// results of the same run only.
func BenchmarkCommits(b *testing.B) {
	const callers = 64
	for _, group := range []int{1, callers} {
		b.Run(fmt.Sprint("group=", group), func(b *testing.B) {
			ctx, cancel := context.WithCancel(context.Background())
			l, err := quorum.Open(quorum.Config{DataDir: filepath.Join(b.TempDir(), "data"), Name: "m0", Address: "127.0.0.1:1"},
				quorum.WithMaxWritesPerSync(group), quorum.WithTick(10*time.Millisecond))
			if err != nil {
				b.Fatal(err)
			}
			ended := l.Run(ctx)
			for self := false; !self; _, self = l.Leader() {
				time.Sleep(time.Millisecond)
			}
			b.SetParallelism(callers)
			command := make([]byte, 200)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := l.Propose(ctx, command); err != nil {
						b.Error(err)
					}
				}
			})
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			cancel()
			if err := <-ended; err != nil {
				b.Error(err)
			}
			b.ReportMetric(float64(b.N)/float64(l.Syncs()), "commits/fsync")
		})
	}
}
