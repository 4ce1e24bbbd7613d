package control

import (
	"encoding/json"
	"strconv"

	"burdocksaddle/catalog"
	"burdocksaddle/fleet"
	"burdocksaddle/ledger"
)

const snapshotFormat = 1

// machineState is the plain form of a Machine; its JSON is the same for equal states.
type machineState struct {
	Format     int
	Index      uint64
	NowMS      int64
	Catalog    catalog.Catalog
	History    []Change
	Fleet      fleet.Snapshot
	Ledger     ledger.Snapshot
	Operations answersState
	Proposals  answersState
}

// Snapshot returns the whole state; equal states give equal bytes.
func (m *Machine) Snapshot() ([]byte, error) { return json.Marshal(m.export()) }

// export copies the whole state, so that encoding it can go on while commands are applied.
func (m *Machine) export() machineState {
	return machineState{
		Format: snapshotFormat, Index: m.index, NowMS: m.nowMS, Catalog: m.catalog, History: m.history,
		Fleet: m.fleet.Export(), Ledger: m.ledger.Export(),
		Operations: m.operations.export(), Proposals: m.proposals.export(),
	}
}

// Restore replaces the whole state by a snapshot's; it fails with ErrSnapshotFormat or as JSON does, changing nothing.
func (m *Machine) Restore(state []byte) error {
	var s machineState
	if err := json.Unmarshal(state, &s); err != nil {
		return err
	}
	if s.Format != snapshotFormat {
		return ErrSnapshotFormat{Format: s.Format}
	}
	*m = *NewMachine()
	m.index, m.nowMS, m.catalog, m.history = s.Index, s.NowMS, s.Catalog, s.History
	m.fleet, m.ledger = fleet.Import(s.Fleet), ledger.Import(s.Ledger)
	m.operations.restore(s.Operations)
	m.proposals.restore(s.Proposals)
	return nil
}

// ErrSnapshotFormat tells that a snapshot was written in a format unknown here.
type ErrSnapshotFormat struct{ Format int }

// Error implements error.
func (e ErrSnapshotFormat) Error() string {
	return "snapshot format " + strconv.Itoa(e.Format) + " is unknown; this program reads " + strconv.Itoa(snapshotFormat)
}
