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
	seedTimeout = 2 * time.Second
	seedRetry   = 200 * time.Millisecond
	metricDisk  = "burdocksaddle_control_disk_write_seconds"
)

// openControl makes the control member on top of its replicated log.
func (n *Node) openControl(pool *wire.Pool) (*quorum.Log, error) {
	s := n.settings
	n.member = control.New(control.WithLog(n.log), control.WithName(s.Node), control.WithPool(pool),
		control.WithLease(time.Duration(s.Lease.LengthMS)*time.Millisecond),
		control.WithStoreBudget(s.Control.StoreRate, s.Control.StoreSlots), control.WithAdapterBudget(s.Control.AdapterBudget))
	config := quorum.Config{
		DataFolder: s.Control.DataFolder, Name: s.Node, Address: cmp.Or(s.Advertise, s.Listen),
		Bootstrap: peers(s.Control.Bootstrap), Standing: s.Control.StandingLearner,
		ReplaceAfter: time.Duration(s.Control.ReplaceAfterMS) * time.Millisecond, SnapshotEntries: s.Control.SnapshotEntries,
	}
	shared, err := quorum.Open(config, quorum.WithApply(n.member.Apply), quorum.WithSnapshot(n.member.Snapshot),
		quorum.WithRestore(n.member.Restore), quorum.WithPool(pool), quorum.WithLog(n.log),
		quorum.WithWrote(func(took time.Duration) { metrics.GetOrCreateHistogram(metricDisk).Update(took.Seconds()) }))
	if err != nil {
		return nil, err
	}
	n.member.Share(control.Over(shared))
	return shared, nil
}

func peers(bootstrap []string) []quorum.Peer {
	var all []quorum.Peer
	for _, one := range bootstrap {
		name, address, _ := strings.Cut(one, "=")
		all = append(all, quorum.Peer{Name: name, Address: address})
	}
	return all
}

// seed is the duty that puts the first catalog in force, once, when the system has none; the channel gives its end.
func (n *Node) seed(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		err := n.seedFirst(ctx)
		if err == nil {
			<-ctx.Done()
		}
		ended <- err
	}()
	return ended
}

func (n *Node) seedFirst(ctx context.Context) error {
	first, err := n.firstCatalog()
	if err != nil || first == nil {
		return err
	}
	for ctx.Err() == nil && !n.seeded(ctx, *first) {
		select {
		case <-ctx.Done():
		case <-time.After(seedRetry):
		}
	}
	return nil
}

func (n *Node) firstCatalog() (*catalog.Catalog, error) {
	file := n.settings.Control.CatalogFile
	if n.first != nil || file == "" {
		return n.first, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	first, err := catalog.Parse(file, data)
	return &first, err
}

// seeded tells whether the system has a catalog; members that seed at once do it under one operation id.
func (n *Node) seeded(ctx context.Context, first catalog.Catalog) bool {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	if n.member.Current(ctx) != nil {
		return false
	}
	if n.member.Catalog().Version > 0 {
		return true
	}
	result, err := n.member.Change(ctx, "settings", "first-catalog", 0, catalog.Change{Set: &first})
	if err == nil && result.GetErrorCode() != "" {
		n.log.Info("first catalog not applied", "code", result.GetErrorCode(), "detail", result.GetErrorDetail())
	}
	return err == nil
}
