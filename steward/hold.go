package steward

import (
	"context"
	"maps"
	"slices"
	"time"

	"burdocksaddle/endpoint"
	"burdocksaddle/holder"
	"burdocksaddle/logging"
	"burdocksaddle/route"
	"burdocksaddle/scaling"
	"burdocksaddle/wirepb"
)

const (
	// holdTick is how often a steward tells the leader that it holds its endpoints.
	holdTick = 100 * time.Millisecond
	// holdTimeout bounds that call; the next one tells the same.
	holdTimeout = 500 * time.Millisecond
)

// heldEndpoint is an endpoint that this steward gives orders to.
type heldEndpoint struct {
	address    string
	holder     *holder.Holder
	assignment holder.Assignment
	cancel     context.CancelFunc
	ended      <-chan error
	state      endpoint.State
	// news tells that the leader has not heard of the state.
	news bool
}

// assign puts a committed change of the holders in force; one that does not follow from the last is void.
func (s *Steward) assign(change *wirepb.HolderTable) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holders, follows := s.holders.Apply(change)
	if !follows {
		s.log.Info("assignment of holders is void", "revision", change.GetRevision(), "held", s.holders.Revision)
		return
	}
	for _, e := range change.GetHolders() {
		s.log.Info("holder assigned", "address", e.GetEndpoint(), "holder", e.GetSteward(), "fence", e.GetFence(), "settled", e.GetSettled(),
			"revision", change.GetRevision(), "former", s.holders.Holders[e.GetEndpoint()].Steward)
	}
	s.holders = holders
	nudge(s.holding)
}

// hold is the duty that gives the assigned endpoints their orders and tells the leader of them; the channel gives its end.
func (s *Steward) hold(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(holdTick)
		defer ticker.Stop()
		for told := ""; ctx.Err() == nil; {
			s.follow(ctx)
			told = s.tellLeader(ctx, told)
			select {
			case <-ctx.Done():
			case <-ticker.C:
			case <-s.holding:
			}
		}
		s.release()
		ended <- nil
	}()
	return ended
}

// follow begins and ends holding endpoints as the log says.
func (s *Steward) follow(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.former = slices.DeleteFunc(s.former, func(h *heldEndpoint) bool {
		select {
		case err := <-h.ended:
			s.logEnd(h, err)
			return true
		default:
			return false
		}
	})
	for address, h := range s.held {
		if a := s.holders.Holders[address]; a.Steward != h.assignment.Steward || a.Fence != h.assignment.Fence {
			h.cancel()
			delete(s.held, address)
			s.former = append(s.former, h)
		}
	}
	for address, a := range s.holders.Holders {
		if _, held := s.held[address]; held || a.Steward != s.config.Address {
			continue
		}
		running, cancel := context.WithCancel(ctx)
		h := &heldEndpoint{address: address, assignment: a, cancel: cancel}
		h.holder = holder.New(holder.Config{Endpoint: address, Assignment: a, Lease: s.config.Lease},
			holder.WithLog(s.log), holder.WithMetrics(s.metrics), holder.WithEngine(s.engine), holder.WithFetchReport(s.report),
			holder.WithSendOrder(s.give), holder.WithVerifyHolder(func(ctx context.Context) bool { return s.provesHolder(ctx, address, a.Fence) }),
			holder.WithStateListener(func(state endpoint.State, changed bool) { s.toldState(h, state, changed) }))
		h.ended = h.holder.Run(running)
		s.held[address] = h
	}
}

// release waits for what is held to end.
func (s *Steward) release() {
	s.mu.Lock()
	held := slices.AppendSeq(s.former, maps.Values(s.held))
	s.mu.Unlock()
	for _, h := range held {
		h.cancel()
		s.logEnd(h, <-h.ended)
	}
}

func (s *Steward) logEnd(h *heldEndpoint, err error) {
	s.log.Info("endpoint no longer held", "address", h.address, "fence", h.assignment.Fence, "error", logging.ErrorText(err))
}

func (s *Steward) toldState(h *heldEndpoint, state endpoint.State, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.state, h.news = state, true
	if changed {
		nudge(s.holding)
	}
}

// engine returns a service's engine by the table in force.
func (s *Steward) engine(service string) *route.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return nil
	}
	found, _ := s.table.Service(service)
	return found.Engine
}

// provesHolder tells whether this steward is still an endpoint's holder, by the log as it is now.
func (s *Steward) provesHolder(ctx context.Context, address string, fence uint64) bool {
	if !s.provesQuorum(ctx) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.holders.Holders[address]
	return a.Steward == s.config.Address && a.Fence == fence
}

// provesQuorum tells whether this steward had applied, a moment ago, all that was committed by then.
func (s *Steward) provesQuorum(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, proveTimeout)
	defer cancel()
	select {
	case s.proving <- struct{}{}:
		defer func() { <-s.proving }()
	case <-ctx.Done():
		return false
	}
	if time.Since(s.provenAt) < provenMost {
		return true
	}
	start := time.Now()
	if _, err := s.shared.ReadBarrier(ctx); err != nil {
		s.log.Info("no orders without a quorum", "error", err.Error())
		return false
	}
	s.provenAt = start
	return time.Since(start) < provenMost
}

// tellLeader tells the leader what is held here, and all of it if it was not told anything yet; it returns the leader.
func (s *Steward) tellLeader(ctx context.Context, told string) string {
	address, self := s.shared.Leader()
	if self {
		address = s.config.Address
	}
	if address == "" {
		return ""
	}
	report := &wirepb.HolderReport{Steward: s.config.Address}
	s.mu.Lock()
	for _, place := range slices.Sorted(maps.Keys(s.held)) {
		h := s.held[place]
		if h.holder.Ready() {
			report.Ready = append(report.Ready, &wirepb.HolderEntry{Endpoint: place, Fence: h.assignment.Fence})
		}
		if h.state.Load != nil && (h.news || address != told) {
			report.Endpoints = append(report.Endpoints, h.state.ToWire())
			h.news = false
		}
	}
	s.mu.Unlock()
	if self {
		s.takeUse(s.takeHolder(ctx, report).GetHolderReportReply())
		return address
	}
	reply, err := s.pool.Call(ctx, address, &wirepb.Frame{Body: &wirepb.Frame_HolderReport{HolderReport: report}}, holdTimeout)
	if err != nil || !reply.GetHolderReportReply().GetLeads() {
		return "" // it is told all again
	}
	s.takeUse(reply.GetHolderReportReply())
	return address
}

// takeUse hands the holders what the leader knows of the adapters in use.
func (s *Steward) takeUse(reply *wirepb.HolderReportReply) {
	used := map[string][]endpoint.Adapter{}
	for _, e := range reply.GetInUse() {
		for _, m := range e.GetModels() {
			for _, name := range m.GetAdapters() {
				used[e.GetAddress()] = append(used[e.GetAddress()], endpoint.Adapter{Model: m.GetName(), Name: name})
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, h := range s.held {
		h.holder.SetUsedAdapters(used[address])
	}
}

// takeHolder takes a steward's word on the endpoints that it holds.
func (s *Steward) takeHolder(_ context.Context, r *wirepb.HolderReport) *wirepb.Frame {
	_, self := s.shared.Leader()
	reply := &wirepb.HolderReportReply{Leads: self}
	if self {
		now := time.Now()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.heard[r.GetSteward()] = now
		for _, e := range r.GetReady() {
			s.ready[e.GetEndpoint()] = e.GetFence()
			if used := s.inUse[e.GetEndpoint()]; used != nil {
				reply.InUse = append(reply.InUse, used)
			}
		}
		for _, e := range r.GetEndpoints() {
			state := endpoint.FromWire(e)
			s.reports[state.Address] = endpointReport{at: now, state: state}
		}
		if len(r.GetEndpoints()) > 0 {
			nudge(s.wake)
		}
	}
	return &wirepb.Frame{Body: &wirepb.Frame_HolderReportReply{HolderReportReply: reply}}
}

// orderFor carries out the leader's word on a model at an endpoint that is held here.
func (s *Steward) orderFor(ctx context.Context, o *wirepb.EndpointOrder) *wirepb.Frame {
	outcome, err := scaling.OutcomeRefused, error(holder.ErrNotHolder{Endpoint: o.GetAddress()})
	if h := s.holderOf(o.GetAddress()); h != nil {
		outcome, err = h.ExecuteOrder(ctx, o)
	}
	reply := &wirepb.EndpointOrderReply{Outcome: uint32(outcome), Error: logging.ErrorText(err)}
	return &wirepb.Frame{Body: &wirepb.Frame_EndpointOrderReply{EndpointOrderReply: reply}}
}

// adapterFor brings an adapter to an endpoint that is held here.
func (s *Steward) adapterFor(ctx context.Context, call *wirepb.AdapterCall) *wirepb.Frame {
	verdict, err := scaling.VerdictNo, error(holder.ErrNotHolder{Endpoint: call.GetAddress()})
	if h := s.holderOf(call.GetAddress()); h != nil {
		verdict, err = h.LoadAdapter(ctx, call)
	}
	held := verdict == scaling.VerdictHeld
	reply := &wirepb.AdapterReply{Accepted: held || verdict == scaling.VerdictComing, Held: held, Error: logging.ErrorText(err)}
	return &wirepb.Frame{Body: &wirepb.Frame_AdapterReply{AdapterReply: reply}}
}

func (s *Steward) holderOf(address string) *holder.Holder {
	s.mu.Lock()
	defer s.mu.Unlock()
	if h := s.held[address]; h != nil {
		return h.holder
	}
	return nil
}
