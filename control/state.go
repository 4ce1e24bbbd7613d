package control

import (
	"encoding/json"

	"burdocksaddle/catalog"
	"burdocksaddle/fleet"
	"burdocksaddle/wirepb"
)

// Error codes in the results of refused commands.
const (
	CodeVersionConflict = "VersionConflict"
	CodeChangeInvalid   = "ChangeInvalid"
	CodeOperationReused = "OperationReused"
	CodeRefused         = "Refused"
	CodeKeyReused       = "KeyReused"
)

var wireStates = map[fleet.State]wirepb.ReplicaState{
	fleet.Decided: wirepb.ReplicaState_REPLICA_DECIDED, fleet.Loading: wirepb.ReplicaState_REPLICA_LOADING,
	fleet.Loaded: wirepb.ReplicaState_REPLICA_LOADED, fleet.Unloading: wirepb.ReplicaState_REPLICA_UNLOADING,
	fleet.Unknown: wirepb.ReplicaState_REPLICA_UNKNOWN, fleet.Gone: wirepb.ReplicaState_REPLICA_GONE,
}

var fleetStates = map[wirepb.ReplicaState]fleet.State{}

func init() {
	for name, number := range wireStates {
		fleetStates[number] = name
	}
}

// FleetState converts a replica state from its wire representation.
func FleetState(state wirepb.ReplicaState) fleet.State { return fleetStates[state] }

func setRefused(result *wirepb.CommandResult, err error) {
	if err != nil {
		result.ErrorCode, result.ErrorDetail = CodeRefused, err.Error()
	}
}

func applyChange(c catalog.Catalog, data []byte) (catalog.Catalog, error) {
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
			State: wireStates[replica.State], Fence: replica.Fence, MemoryMb: replica.MemoryMB,
		})
	}
	return view
}
