package examples

import (
	"os"
	"path/filepath"
	"testing"

	"burdocksaddle/catalog"
	"burdocksaddle/setting"

	"github.com/google/go-cmp/cmp"
)

// counts holds the numbers of items in the example of a deployment.
type counts struct {
	Models, Adapters, Workers, Plain, Entries, Controls, DataCentres int
	// ColdStartFirst is set if the active preset weighs cold starts higher than idle accelerators.
	ColdStartFirst bool
}

func TestDeployments(t *testing.T) {
	const workerMB = 80_000
	tests := []struct {
		name string
		want counts
	}{
		{"tw-west", counts{Models: 60, Adapters: 100, Workers: 18, Plain: 3, Entries: 3, Controls: 3, DataCentres: 3, ColdStartFirst: true}},
		{"kingston", counts{Models: 40, Adapters: 100, Workers: 18, Plain: 3, Entries: 3, Controls: 3, DataCentres: 3}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := readCatalog(t, filepath.Join(test.name, "catalog.json"))
			got := countSettings(t, test.name, c)
			got.Models, got.Adapters = len(c.Models), len(c.Adapters)
			got.ColdStartFirst = c.ActivePreset().ColdStartWeight > c.ActivePreset().IdleWeight
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Error(diff)
			}
			var alwaysLoadedMB uint64
			for _, m := range c.Models {
				alwaysLoadedMB += m.MemoryMB * uint64(m.MinReplicas)
				if m.MemoryMB < 4_000 || m.MemoryMB > 40_000 {
					t.Errorf("%s takes %d MB", m.Name, m.MemoryMB)
				}
			}
			if alwaysLoadedMB == 0 || alwaysLoadedMB > workerMB {
				t.Errorf("%d MB are always loaded; must be more than 0 and at most the memory of one worker", alwaysLoadedMB)
			}
			for _, name := range []string{"Ordinary", "Peak", "Maintenance"} {
				if _, err := c.WithActivePreset(name); err != nil {
					t.Error(err)
				}
			}
		})
	}
}

func readCatalog(t *testing.T, path string) catalog.Catalog {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	c, err := catalog.Parse(path, data)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// countSettings loads all settings and checks that they are consistent with the catalog and with each other.
func countSettings(t *testing.T, deployment string, c catalog.Catalog) counts {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(deployment, "settings", "*.json"))
	if err != nil {
		t.Fatal(err)
	}
	var got counts
	nodes, listens, centres := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, path := range paths {
		s, err := setting.Load(path)
		if err != nil {
			t.Fatal(err)
		}
		if nodes[s.Node] || listens[s.Listen] {
			t.Errorf("%s: duplicate node or address", path)
		}
		nodes[s.Node], listens[s.Listen], centres[s.DataCentre] = true, true, true
		if s.Has(setting.RoleEntry) {
			got.Entries++
		}
		if s.Has(setting.RoleControl) {
			got.Controls++
		}
		if s.Has(setting.RoleAgent) {
			checkAgent(t, s, c)
			if s.Agent.Kind == "Model" {
				got.Workers++
			} else {
				got.Plain++
			}
		}
	}
	got.DataCentres = len(centres)
	return got
}

func checkAgent(t *testing.T, s setting.Settings, c catalog.Catalog) {
	t.Helper()
	endpoint, known := c.Endpoint(s.Agent.Endpoint)
	if !known || endpoint.Service != s.Agent.Service {
		t.Errorf("%s: the catalog contains no endpoint %s of service %s", s.Node, s.Agent.Endpoint, s.Agent.Service)
	}
	service, known := c.Service(s.Agent.Service)
	if !known || string(service.Kind) != s.Agent.Kind {
		t.Errorf("%s: service %s in the catalog is not of Kind %s", s.Node, s.Agent.Service, s.Agent.Kind)
	}
}
