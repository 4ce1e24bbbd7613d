package endpoint

import (
	"time"

	"burdocksaddle/wirepb"
)

// ToWire converts the state to its protobuf message.
func (s State) ToWire() *wirepb.EndpointState {
	message := &wirepb.EndpointState{
		Id: s.ID, BornMs: s.StartMS, Service: s.Service, Address: s.Address, DataCentre: s.DataCentre, Slots: uint32(s.Slots),
		Draining: s.Draining, Loading: s.Loading, LoadingLeftMs: uint32(s.LoadingLeft.Milliseconds()),
		RemainingMs: uint32(s.Remaining.Milliseconds()), Holder: s.Holder,
		Limited: s.Limit.Named, Limit: s.Limit.PerSecond, Software: s.Software, Speed: s.Speed,
	}
	for _, m := range s.Models {
		message.Models = append(message.Models, &wirepb.HeldModel{Name: m.Name, Adapters: m.Adapters})
	}
	if s.Load == nil {
		return message
	}
	message.Reported, message.Running, message.Waiting = true, uint32(s.Load.Running), uint32(s.Load.Waiting)
	message.KvUsed, message.KvTotal = uint64(s.Load.KVUsed), uint64(s.Load.KVTotal)
	message.Busy, message.Sequence = s.Load.Busy, uint64(s.Load.Sequence)
	message.InMemory, message.OnDisk = s.Load.InMemory, s.Load.OnDisk
	for _, p := range s.Load.Pending {
		message.Pending = append(message.Pending, &wirepb.HeldModel{Name: p.Model, Adapters: []string{p.Name}})
	}
	return message
}

// FromWire converts a protobuf message to a state.
func FromWire(message *wirepb.EndpointState) State {
	s := State{
		ID: message.GetId(), StartMS: message.GetBornMs(), Service: message.GetService(), Address: message.GetAddress(), DataCentre: message.GetDataCentre(),
		Slots: int(message.GetSlots()), Draining: message.GetDraining(), Loading: message.GetLoading(),
		LoadingLeft: time.Duration(message.GetLoadingLeftMs()) * time.Millisecond,
		Remaining:   time.Duration(message.GetRemainingMs()) * time.Millisecond, Holder: message.GetHolder(),
		Limit: Limit{Named: message.GetLimited(), PerSecond: message.GetLimit()}, Software: message.GetSoftware(), Speed: message.GetSpeed(),
	}
	for _, m := range message.GetModels() {
		s.Models = append(s.Models, Model{Name: m.GetName(), Adapters: m.GetAdapters()})
	}
	if !message.GetReported() {
		return s
	}
	s.Load = &Load{
		Running: int(message.GetRunning()), Waiting: int(message.GetWaiting()), KVUsed: int(message.GetKvUsed()), KVTotal: int(message.GetKvTotal()),
		Busy: message.GetBusy(), Sequence: int(message.GetSequence()), InMemory: message.GetInMemory(), OnDisk: message.GetOnDisk(),
	}
	for _, p := range message.GetPending() {
		for _, a := range p.GetAdapters() {
			s.Load.Pending = append(s.Load.Pending, Adapter{Model: p.GetName(), Name: a})
		}
	}
	return s
}
