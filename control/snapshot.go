package control

import (
	"encoding/json"
	"strconv"

	"burdocksaddle/catalog"
	"burdocksaddle/fleet"
	"burdocksaddle/ledger"
)

const snapshotFormat = 1

// machineState is the serializable form of a StateMachine. Equal states have equal JSON.
type machineState struct {
	Format     int
	Index      uint64
	NowMS      int64
	Catalog    catalog.Catalog
	History    []Change
	Fleet      fleet.Snapshot
	Ledger     ledger.Snapshot
	Operations resultCacheState
	Proposals  resultCacheState
}

// Snapshot encodes the complete state. Equal states give equal bytes.
func (m *StateMachine) Snapshot() ([]byte, error) { return json.Marshal(m.export()) }

// export copies the complete state, so that it can be encoded while further commands are applied.
func (m *StateMachine) export() machineState {
	return machineState{
		Format: snapshotFormat, Index: m.index, NowMS: m.nowMS, Catalog: m.catalog, History: m.history,
		Fleet: m.fleet.Export(), Ledger: m.ledger.Export(),
		Operations: m.operations.export(), Proposals: m.proposals.export(),
	}
}

// Restore replaces the complete state. It fails with ErrSnapshotFormat or an error of encoding/json, and leaves the
// state unchanged then.
func (m *StateMachine) Restore(state []byte) error {
	var s machineState
	if err := json.Unmarshal(state, &s); err != nil {
		return err
	}
	if s.Format != snapshotFormat {
		return ErrSnapshotFormat{Format: s.Format}
	}
	*m = *NewStateMachine()
	m.index, m.nowMS, m.catalog, m.history = s.Index, s.NowMS, s.Catalog, s.History
	m.fleet, m.ledger = fleet.Import(s.Fleet), ledger.Import(s.Ledger)
	m.operations.restore(s.Operations)
	m.proposals.restore(s.Proposals)
	return nil
}

// ErrSnapshotFormat is returned for a snapshot in an unknown format.
type ErrSnapshotFormat struct{ Format int }

// Error implements error.
func (e ErrSnapshotFormat) Error() string {
	return "snapshot format " + strconv.Itoa(e.Format) + " is unknown; this program reads " + strconv.Itoa(snapshotFormat)
}
