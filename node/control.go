package node

import (
	"cmp"
	"context"
	"os"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"burdocksaddle/catalog"
	"burdocksaddle/control"
	"burdocksaddle/quorum"
	"burdocksaddle/wire"
)

const (
	seedTimeout       = 2 * time.Second
	seedRetryInterval = 200 * time.Millisecond
	metricDiskWrite   = "burdocksaddle_control_disk_write_seconds"
)

// openControl creates the control member and the replicated log that it is based on.
func (n *Node) openControl(pool *wire.Pool) (*quorum.Log, error) {
	s := n.settings
	n.member = control.New(control.WithLog(n.log), control.WithName(s.Node), control.WithPool(pool),
		control.WithLease(time.Duration(s.Lease.LengthMS)*time.Millisecond),
		control.WithStoreBudget(s.Control.StoreRate, s.Control.StoreSlots), control.WithAdapterBudget(s.Control.AdapterBudget))
	config := quorum.Config{
		DataDir: s.Control.DataFolder, Name: s.Node, Address: cmp.Or(s.Advertise, s.Listen),
		Bootstrap: bootstrapPeers(s.Control.Bootstrap), Standing: s.Control.StandingLearner,
		ReplaceAfter: time.Duration(s.Control.ReplaceAfterMS) * time.Millisecond, SnapshotEntries: s.Control.SnapshotEntries,
	}
	replicatedLog, err := quorum.Open(config, quorum.WithApply(n.member.Apply), quorum.WithSnapshot(n.member.Snapshot),
		quorum.WithRestore(n.member.Restore), quorum.WithPool(pool), quorum.WithLog(n.log),
		quorum.WithWriteObserver(func(took time.Duration) { metrics.GetOrCreateHistogram(metricDiskWrite).Update(took.Seconds()) }))
	if err != nil {
		return nil, err
	}
	n.member.SetReplicatedLog(control.NewLog(replicatedLog))
	return replicatedLog, nil
}

func bootstrapPeers(bootstrap []string) []quorum.Peer {
	var all []quorum.Peer
	for _, member := range bootstrap {
		name, address, _ := strings.Cut(member, "=")
		all = append(all, quorum.Peer{Name: name, Address: address})
	}
	return all
}

// seedCatalog starts a task that applies the first catalog if the system has none yet. The channel receives the task's result.
func (n *Node) seedCatalog(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		err := n.seedUntilDone(ctx)
		if err == nil {
			<-ctx.Done()
		}
		ended <- err
	}()
	return ended
}

func (n *Node) seedUntilDone(ctx context.Context) error {
	first, err := n.loadFirstCatalog()
	if err != nil || first == nil {
		return err
	}
	for ctx.Err() == nil && !n.trySeed(ctx, *first) {
		select {
		case <-ctx.Done():
		case <-time.After(seedRetryInterval):
		}
	}
	return nil
}

func (n *Node) loadFirstCatalog() (*catalog.Catalog, error) {
	file := n.settings.Control.CatalogFile
	if n.initialCatalog != nil || file == "" {
		return n.initialCatalog, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	first, err := catalog.Parse(file, data)
	return &first, err
}

// trySeed applies the first catalog if the system has none, and reports whether no retry is needed. All members use the same
// operation ID, so that the catalog is applied only once if several of them do this concurrently.
func (n *Node) trySeed(ctx context.Context, first catalog.Catalog) bool {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	if n.member.WaitForProof(ctx) != nil {
		return false
	}
	if n.member.Catalog().Version > 0 {
		return true
	}
	result, err := n.member.ChangeCatalog(ctx, "settings", "first-catalog", 0, catalog.Change{Set: &first})
	if err == nil && result.GetErrorCode() != "" {
		n.log.Info("first catalog not applied", "code", result.GetErrorCode(), "detail", result.GetErrorDetail())
	}
	return err == nil
}
