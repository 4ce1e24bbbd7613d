package control

import "burdocksaddle/catalog"

// maxHistory limits the number of past changes that can be read or rolled back to.
const maxHistory = 1000

// Change is an accepted change of the catalog.
type Change struct {
	Version     uint64
	Operator    string
	OperationID string
	AtMS        int64
	// Preset is the active preset after the change.
	Preset string
	// Back is the delta from this version to the previous one.
	Back catalog.Delta
}

func (m *StateMachine) recordChange(change Change) {
	m.history = append(m.history, change)
	if len(m.history) > maxHistory {
		m.history = append([]Change{}, m.history[len(m.history)-maxHistory:]...)
	}
}

// CatalogAt returns the catalog at a version, if that is still covered by the history.
func (m *StateMachine) CatalogAt(version uint64) (catalog.Catalog, bool) {
	current := m.catalog
	for i := len(m.history) - 1; i >= 0 && current.Version > version; i-- {
		previous, err := m.history[i].Back.Apply(current)
		if err != nil {
			return catalog.Catalog{}, false
		}
		current = previous
	}
	return current, current.Version == version
}
