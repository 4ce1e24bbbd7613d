package control

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"burdocksaddle/catalog"
	"burdocksaddle/view"
)

// tcpHeaderBytes counts the IP and TCP headers of a write and of its acknowledgement.
const tcpHeaderBytes = 2 * 40

// TestIdleWatchTraffic measures the traffic of an idle node's watch stream in both directions, keepalives
// included. The limit for all control traffic of a node is 4 KB/s.
func TestIdleWatchTraffic(t *testing.T) {
	const (
		length = time.Minute
		bound  = 4096
	)
	for _, role := range []string{"Entry", "Agent"} {
		runSynctest(t, func(t *testing.T) {
			g := newTestGroup(t, 3)
			defer g.close()
			g.setInitialCatalog()
			client, ended := g.startNodeUntil(g.ctx, "n", role, "c1", "c2", "c3")
			g.endChans = append(g.endChans, ended)
			time.Sleep(testLease)
			before := g.network.Traffic("n")
			time.Sleep(length)
			after := g.network.Traffic("n")
			perSecond := float64(after.Bytes()-before.Bytes()+int64(tcpHeaderBytes*(after.Writes-before.Writes))) / length.Seconds()
			t.Logf("%s: %.0f bytes a second, of which %.0f payload", role, perSecond, float64(after.Bytes()-before.Bytes())/length.Seconds())
			if perSecond > bound || perSecond == 0 || !client.Leased() {
				t.Errorf("%s: %.0f bytes a second, bound %d, leased %v", role, perSecond, bound, client.Leased())
			}
		})
	}
}

// BenchmarkFanOut measures the time and bytes that it takes to deliver a catalog change to all watchers.
func BenchmarkFanOut(b *testing.B) {
	for _, watchers := range []int{10, 100, 1000} {
		b.Run(strconv.Itoa(watchers), func(b *testing.B) {
			g := newTestGroup(b, 1)
			defer g.close()
			g.setInitialCatalog()
			g.putAdapter("c1", "a")
			var nodes []*view.Client
			for i := range watchers {
				nodes = append(nodes, g.startNode(fmt.Sprintf("n%d", i), "c1"))
			}
			version := g.members["c1"].Catalog().Version
			for _, node := range nodes {
				node.WaitForVersion(b.Context(), version)
			}
			before := g.network.Traffic("c1").Bytes()
			for i := 0; b.Loop(); i++ {
				preset := catalog.Change{Preset: []string{"Peak", "Ordinary"}[i%2]}
				result, err := g.members["c1"].ChangeCatalog(g.ctx, "kit", fmt.Sprintf("%d-%d", watchers, i), version, preset)
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
