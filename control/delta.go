package control

import (
	"encoding/json"

	"burdocksaddle/catalog"
	"burdocksaddle/wirepb"
)

// maxCachedBases limits the number of base versions whose encoded updates are cached.
const maxCachedBases = 64

// deltaCache caches encoded updates by base version, so that watchers at the same version share one encoding.
type deltaCache struct {
	catalogVersion uint64
	catalogUpdates map[uint64]encodedCatalog
	fleetVersion   uint64
	fleetUpdates   map[uint64]*wirepb.WatchUpdate
}

type encodedCatalog struct {
	data    []byte
	isDelta bool
}

// catalogSince returns a delta from the base version to the current catalog, or the full catalog if the base is
// no longer in the history. The caller must hold the lock.
func (m *Member) catalogSince(base uint64) encodedCatalog {
	current := m.machine.catalog
	if m.deltas.catalogVersion != current.Version || len(m.deltas.catalogUpdates) > maxCachedBases || m.deltas.catalogUpdates == nil {
		m.deltas.catalogVersion, m.deltas.catalogUpdates = current.Version, map[uint64]encodedCatalog{}
	}
	cachedUpdate, ok := m.deltas.catalogUpdates[base]
	if !ok {
		cachedUpdate = encodeCatalog(m.machine, base)
		m.deltas.catalogUpdates[base] = cachedUpdate
	}
	return cachedUpdate
}

func encodeCatalog(m *StateMachine, base uint64) encodedCatalog {
	if previous, ok := m.CatalogAt(base); ok && base > 0 {
		data, err := json.Marshal(catalog.DeltaOf(previous, m.catalog))
		if err == nil {
			return encodedCatalog{data: data, isDelta: true}
		}
	}
	data, _ := json.Marshal(m.catalog)
	return encodedCatalog{data: data}
}

// fleetSince returns the endpoints that changed since a fleet version. The caller must hold the lock and must
// not modify the result, which is shared.
func (m *Member) fleetSince(base uint64) *wirepb.WatchUpdate {
	f := m.machine.fleet
	if m.deltas.fleetVersion != f.Version() || len(m.deltas.fleetUpdates) > maxCachedBases || m.deltas.fleetUpdates == nil {
		m.deltas.fleetVersion, m.deltas.fleetUpdates = f.Version(), map[uint64]*wirepb.WatchUpdate{}
	}
	cachedUpdate, ok := m.deltas.fleetUpdates[base]
	if ok {
		return cachedUpdate
	}
	cachedUpdate = &wirepb.WatchUpdate{FleetFull: base == 0, GoneEndpoints: f.RemovedSince(base)}
	for _, endpoint := range f.Endpoints() {
		if endpoint.Changed > base {
			cachedUpdate.Endpoints = append(cachedUpdate.Endpoints, endpointView(f, endpoint))
		}
	}
	m.deltas.fleetUpdates[base] = cachedUpdate
	return cachedUpdate
}
