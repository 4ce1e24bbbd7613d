package view

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"burdocksaddle/catalog"
	"burdocksaddle/wirepb"
)

func newClient() *Client {
	return New(nil, []string{"c"}, &wirepb.Watch{Node: "n"})
}

// TestLeaseStartsAtEchoedStamp guards against leases that are too long because an update was delayed in transit: a lease must
// start at the stamp that the update echoes.
func TestLeaseStartsAtEchoedStamp(t *testing.T) {
	tests := []struct {
		name    string
		delay   time.Duration
		stamped bool
		lease   time.Duration
		holds   time.Duration
	}{
		{"at once", 0, true, 4 * time.Second, 4 * time.Second},
		{"late", 3 * time.Second, true, 4 * time.Second, time.Second},
		{"too late", 5 * time.Second, true, 4 * time.Second, 0},
		{"no stamp echoed", 0, false, 4 * time.Second, 0},
		{"no lease", 0, true, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newClient()
				time.Sleep(time.Minute)
				update := &wirepb.WatchUpdate{LeaseMs: uint64(test.lease.Milliseconds())}
				if test.stamped {
					update.Stamp = c.watchRequest().GetStamp()
				}
				time.Sleep(test.delay)
				if _, err := c.applyUpdate(update); err != nil {
					t.Fatal(err)
				}
				time.Sleep(test.holds - time.Millisecond)
				if leased := c.Leased(); leased != (test.holds > 0) {
					t.Errorf("leased %v before the end", leased)
				}
				time.Sleep(2 * time.Millisecond)
				if c.Leased() {
					t.Error("leased after the end")
				}
			})
		})
	}
}

// TestApplyUpdateIgnoresOlderVersions guards against older catalogs and fleets replacing newer ones if updates arrive out of
// order.
func TestApplyUpdateIgnoresOlderVersions(t *testing.T) {
	encodeCatalog := func(version uint64) []byte {
		data, err := json.Marshal(catalog.Catalog{}.WithVersion(version))
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	c := newClient()
	steps := []struct {
		name      string
		update    *wirepb.WatchUpdate
		wantErr   bool
		version   uint64
		fleet     uint64
		endpoints int
	}{
		{"first", &wirepb.WatchUpdate{Catalog: encodeCatalog(5), FleetVersion: 7, FleetFull: true, Endpoints: []*wirepb.EndpointView{{Name: "e"}}}, false, 5, 7, 1},
		{"older catalog", &wirepb.WatchUpdate{Catalog: encodeCatalog(4), FleetVersion: 7}, false, 5, 7, 1},
		{"older fleet", &wirepb.WatchUpdate{FleetVersion: 6, FleetFull: true, GoneEndpoints: []string{"e"}}, false, 5, 7, 1},
		{"delta on another base", &wirepb.WatchUpdate{Catalog: []byte(`{"Base":4,"Version":6,"Preset":""}`), CatalogDelta: true, LeaseMs: 4000, Stamp: 1}, true, 5, 7, 1},
		{"delta", &wirepb.WatchUpdate{Catalog: []byte(`{"Base":5,"Version":6,"Preset":""}`), CatalogDelta: true, FleetVersion: 8, GoneEndpoints: []string{"e"}}, false, 6, 8, 0},
	}
	for _, step := range steps {
		_, err := c.applyUpdate(step.update)
		if (err != nil) != step.wantErr || c.Version() != step.version || c.fleetVersion != step.fleet || len(c.Endpoints("")) != step.endpoints || c.Leased() {
			t.Errorf("%s: %v, version %d, fleet %d, %d endpoints, leased %v", step.name, err, c.Version(), c.fleetVersion, len(c.Endpoints("")), c.Leased())
		}
	}
}
