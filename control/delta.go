package control

import (
	"encoding/json"

	"burdocksaddle/catalog"
	"burdocksaddle/wirepb"
)

// maxDeltas bounds how many bases are kept encoded.
const maxDeltas = 64

// deltas keeps what watchers lack, encoded once for all that stand at the same versions.
type deltas struct {
	catalogVersion uint64
	catalogs       map[uint64]encodedCatalog
	fleetVersion   uint64
	fleets         map[uint64]*wirepb.WatchUpdate
}

type encodedCatalog struct {
	data  []byte
	delta bool
}

// catalogSince returns the catalog, or what leads to it from a base; the caller holds the lock.
func (m *Member) catalogSince(base uint64) encodedCatalog {
	now := m.machine.catalog
	if m.deltas.catalogVersion != now.Version || len(m.deltas.catalogs) > maxDeltas || m.deltas.catalogs == nil {
		m.deltas.catalogVersion, m.deltas.catalogs = now.Version, map[uint64]encodedCatalog{}
	}
	kept, ok := m.deltas.catalogs[base]
	if !ok {
		kept = encodeCatalog(m.machine, base)
		m.deltas.catalogs[base] = kept
	}
	return kept
}

func encodeCatalog(m *Machine, base uint64) encodedCatalog {
	if before, ok := m.At(base); ok && base > 0 {
		data, err := json.Marshal(catalog.DeltaOf(before, m.catalog))
		if err == nil {
			return encodedCatalog{data: data, delta: true}
		}
	}
	data, _ := json.Marshal(m.catalog)
	return encodedCatalog{data: data}
}

// fleetSince returns the endpoints that changed since a version; the caller holds the lock and changes nothing in it.
func (m *Member) fleetSince(base uint64) *wirepb.WatchUpdate {
	f := m.machine.fleet
	if m.deltas.fleetVersion != f.Version() || len(m.deltas.fleets) > maxDeltas || m.deltas.fleets == nil {
		m.deltas.fleetVersion, m.deltas.fleets = f.Version(), map[uint64]*wirepb.WatchUpdate{}
	}
	kept, ok := m.deltas.fleets[base]
	if ok {
		return kept
	}
	kept = &wirepb.WatchUpdate{FleetFull: base == 0, GoneEndpoints: f.Gone(base)}
	for _, endpoint := range f.Endpoints() {
		if endpoint.Changed > base {
			kept.Endpoints = append(kept.Endpoints, endpointView(f, endpoint))
		}
	}
	m.deltas.fleets[base] = kept
	return kept
}
