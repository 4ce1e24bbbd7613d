package control

import "burdocksaddle/catalog"

// maxHistory bounds the changes that can be looked at or rolled back to.
const maxHistory = 1000

// Change is one accepted change of the catalog.
type Change struct {
	Version     uint64
	Operator    string
	OperationID string
	AtMS        int64
	// Preset is the one in force after the change.
	Preset string
	// Back leads from this version to the one before.
	Back catalog.Delta
}

func (m *Machine) record(change Change) {
	m.history = append(m.history, change)
	if len(m.history) > maxHistory {
		m.history = append([]Change{}, m.history[len(m.history)-maxHistory:]...)
	}
}

// At returns the catalog of a version that the history still reaches.
func (m *Machine) At(version uint64) (catalog.Catalog, bool) {
	at := m.catalog
	for i := len(m.history) - 1; i >= 0 && at.Version > version; i-- {
		before, err := m.history[i].Back.Apply(at)
		if err != nil {
			return catalog.Catalog{}, false
		}
		at = before
	}
	return at, at.Version == version
}
