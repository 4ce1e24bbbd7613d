package endpoint

import (
	"time"

	"burdocksaddle/wirepb"
)

// ToWire returns the message for a state.
func (s State) ToWire() *wirepb.EndpointState {
	out := &wirepb.EndpointState{
		Id: s.ID, BornMs: s.Born, Service: s.Service, Address: s.Address, DataCentre: s.DataCentre, Slots: uint32(s.Slots),
		Draining: s.Draining, Loading: s.Loading, LoadingLeftMs: uint32(s.LoadingLeft.Milliseconds()),
		RemainingMs: uint32(s.Remaining.Milliseconds()), Holder: s.Holder,
	}
	for _, m := range s.Models {
		out.Models = append(out.Models, &wirepb.HeldModel{Name: m.Name, Adapters: m.Adapters})
	}
	if s.Load == nil {
		return out
	}
	out.Reported, out.Running, out.Waiting = true, uint32(s.Load.Running), uint32(s.Load.Waiting)
	out.KvUsed, out.KvTotal = uint64(s.Load.KVUsed), uint64(s.Load.KVTotal)
	out.Busy, out.Sequence = s.Load.Busy, uint64(s.Load.Sequence)
	out.InMemory, out.OnDisk = s.Load.InMemory, s.Load.OnDisk
	for _, p := range s.Load.Pending {
		out.Pending = append(out.Pending, &wirepb.HeldModel{Name: p.Model, Adapters: []string{p.Name}})
	}
	return out
}

// FromWire returns the state of a message.
func FromWire(w *wirepb.EndpointState) State {
	s := State{
		ID: w.GetId(), Born: w.GetBornMs(), Service: w.GetService(), Address: w.GetAddress(), DataCentre: w.GetDataCentre(),
		Slots: int(w.GetSlots()), Draining: w.GetDraining(), Loading: w.GetLoading(),
		LoadingLeft: time.Duration(w.GetLoadingLeftMs()) * time.Millisecond,
		Remaining:   time.Duration(w.GetRemainingMs()) * time.Millisecond, Holder: w.GetHolder(),
	}
	for _, m := range w.GetModels() {
		s.Models = append(s.Models, Model{Name: m.GetName(), Adapters: m.GetAdapters()})
	}
	if !w.GetReported() {
		return s
	}
	s.Load = &Load{
		Running: int(w.GetRunning()), Waiting: int(w.GetWaiting()), KVUsed: int(w.GetKvUsed()), KVTotal: int(w.GetKvTotal()),
		Busy: w.GetBusy(), Sequence: int(w.GetSequence()), InMemory: w.GetInMemory(), OnDisk: w.GetOnDisk(),
	}
	for _, p := range w.GetPending() {
		for _, a := range p.GetAdapters() {
			s.Load.Pending = append(s.Load.Pending, Adapter{Model: p.GetName(), Name: a})
		}
	}
	return s
}
