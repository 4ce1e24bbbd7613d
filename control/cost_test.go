package control

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"burdocksaddle/catalog"
	"burdocksaddle/view"
)

// headerBytes are TCP and IP headers, for a write and for its acknowledgement.
const headerBytes = 2 * 40

// TestIdleTraffic counts what the watch of an idle node costs both ways, keepalives included; the bound
// for all control traffic of a node is 4 KB a second.
func TestIdleTraffic(t *testing.T) {
	const (
		length = time.Minute
		bound  = 4096
	)
	for _, role := range []string{"Entry", "Agent"} {
		bubble(t, func(t *testing.T) {
			g := newGroup(t, 3)
			defer g.close()
			g.first()
			client, ended := g.nodeUntil(g.ctx, "n", role, "c1", "c2", "c3")
			g.ends = append(g.ends, ended)
			time.Sleep(testLease)
			before := g.network.Traffic("n")
			time.Sleep(length)
			after := g.network.Traffic("n")
			perSecond := float64(after.Bytes()-before.Bytes()+int64(headerBytes*(after.Writes-before.Writes))) / length.Seconds()
			t.Logf("%s: %.0f bytes a second, of which %.0f payload", role, perSecond, float64(after.Bytes()-before.Bytes())/length.Seconds())
			if perSecond > bound || perSecond == 0 || !client.Leased() {
				t.Errorf("%s: %.0f bytes a second, bound %d, leased %v", role, perSecond, bound, client.Leased())
			}
		})
	}
}

// BenchmarkFanOut changes one adapter and waits until every watcher has it.
func BenchmarkFanOut(b *testing.B) {
	for _, watchers := range []int{10, 100, 1000} {
		b.Run(strconv.Itoa(watchers), func(b *testing.B) {
			g := newGroup(b, 1)
			defer g.close()
			g.first()
			g.change("c1", "a")
			var nodes []*view.Client
			for i := range watchers {
				nodes = append(nodes, g.node(fmt.Sprintf("n%d", i), "c1"))
			}
			version := g.members["c1"].Catalog().Version
			for _, node := range nodes {
				node.Await(b.Context(), version)
			}
			before := g.network.Traffic("c1").Bytes()
			for i := 0; b.Loop(); i++ {
				preset := catalog.Change{Preset: []string{"Peak", "Ordinary"}[i%2]}
				result, err := g.members["c1"].Change(g.ctx, "kit", fmt.Sprintf("%d-%d", watchers, i), version, preset)
				if err != nil || result.GetErrorCode() != "" {
					b.Fatal(result, err)
				}
				version = result.GetCatalogVersion()
				for _, node := range nodes {
					for changed := node.Changed(); node.Version() < version; changed = node.Changed() {
						<-changed
					}
				}
			}
			after := g.network.Traffic("c1").Bytes()
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(watchers), "us/watcher")
			b.ReportMetric(float64(after-before)/float64(b.N)/float64(watchers), "bytes/watcher")
		})
	}
}
