package control

import (
	"encoding/json"

	"burdocksaddle/catalog"
	"burdocksaddle/fleet"
	"burdocksaddle/wirepb"
)

// Codes of results that refuse a command.
const (
	CodeVersionConflict = "VersionConflict"
	CodeChangeInvalid   = "ChangeInvalid"
	CodeOperationReused = "OperationReused"
	CodeRefused         = "Refused"
	CodeKeyReused       = "KeyReused"
)

var stateNumbers = map[fleet.State]wirepb.ReplicaState{
	fleet.Decided: wirepb.ReplicaState_REPLICA_DECIDED, fleet.Loading: wirepb.ReplicaState_REPLICA_LOADING,
	fleet.Loaded: wirepb.ReplicaState_REPLICA_LOADED, fleet.Unloading: wirepb.ReplicaState_REPLICA_UNLOADING,
	fleet.Unknown: wirepb.ReplicaState_REPLICA_UNKNOWN, fleet.Gone: wirepb.ReplicaState_REPLICA_GONE,
}

var stateNames = map[wirepb.ReplicaState]fleet.State{}

func init() {
	for name, number := range stateNumbers {
		stateNames[number] = name
	}
}

// StateOf returns the fleet's name of a state on the wire.
func StateOf(state wirepb.ReplicaState) fleet.State { return stateNames[state] }

func fail(result *wirepb.CommandResult, err error) {
	if err != nil {
		result.ErrorCode, result.ErrorDetail = CodeRefused, err.Error()
	}
}

func changed(c catalog.Catalog, data []byte) (catalog.Catalog, error) {
	var change catalog.Change
	if err := json.Unmarshal(data, &change); err != nil {
		return c, err
	}
	return change.Apply(c)
}

func endpointView(f *fleet.Fleet, e fleet.Endpoint) *wirepb.EndpointView {
	view := &wirepb.EndpointView{
		Name: e.Name, Service: e.Service, DataCentre: e.DataCentre, Address: e.Address,
		Incarnation: e.Incarnation, Leaving: e.Leaving, Silent: e.Silent, Slots: e.Slots,
	}
	for _, replica := range f.Replicas(e.Name) {
		view.Replicas = append(view.Replicas, &wirepb.ReplicaView{
			Id: replica.ID, Model: replica.Model, Version: replica.Version,
			State: stateNumbers[replica.State], Fence: replica.Fence, MemoryMb: replica.MemoryMB,
		})
	}
	return view
}
