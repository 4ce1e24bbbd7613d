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
	// holderReportInterval is how often a steward reports its endpoints to the leader.
	holderReportInterval = 100 * time.Millisecond
	// holderReportTimeout bounds a report to the leader. A lost report needs no retry, as the next one carries the same state.
	holderReportTimeout = 500 * time.Millisecond
	// maxDiskOutage is how long the disk may take for a write before this steward no longer reports to the leader, which then gives its
	// endpoints to others: the log stops following the leader once too many writes wait.
	maxDiskOutage = 10 * time.Second
)

// heldEndpoint is an endpoint held by this steward.
type heldEndpoint struct {
	address    string
	holder     *holder.Holder
	assignment holder.Assignment
	cancel     context.CancelFunc
	done       <-chan error
	state      endpoint.State
	// unreported is set while the leader has not been sent the current state.
	unreported bool
}

// applyAssignments applies a committed change of the holders. A change that does not follow from the current revision is ignored.
func (s *Steward) applyAssignments(change *wirepb.HolderTable) {
	s.mu.Lock()
	defer s.mu.Unlock()
	holders, follows := s.holders.Apply(change)
	if !follows {
		s.log.Info("ignoring holder assignment that does not follow from the current revision", "revision", change.GetRevision(), "held", s.holders.Revision)
		return
	}
	for _, e := range change.GetHolders() {
		s.log.Info("holder assigned", "address", e.GetEndpoint(), "holder", e.GetSteward(), "fence", e.GetFence(), "settled", e.GetSettled(),
			"revision", change.GetRevision(), "former", s.holders.Holders[e.GetEndpoint()].Steward)
	}
	s.holders = holders
	notify(s.holderWake)
}

// runHolders runs the holders of the assigned endpoints and reports their states to the leader. The returned channel receives a
// value once all holders have stopped.
func (s *Steward) runHolders(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(holderReportInterval)
		defer ticker.Stop()
		for lastLeader := ""; ctx.Err() == nil; {
			s.reconcileHolders(ctx)
			lastLeader = s.reportToLeader(ctx, lastLeader)
			select {
			case <-ctx.Done():
			case <-ticker.C:
			case <-s.holderWake:
			}
		}
		s.stopHolders()
		done <- nil
	}()
	return done
}

// reconcileHolders starts and stops holders to match the committed assignment.
func (s *Steward) reconcileHolders(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = slices.DeleteFunc(s.stopping, func(h *heldEndpoint) bool {
		select {
		case err := <-h.done:
			s.logHolderStopped(h, err)
			return true
		default:
			return false
		}
	})
	for address, h := range s.held {
		if a := s.holders.Holders[address]; a.Steward != h.assignment.Steward || a.Fence != h.assignment.Fence {
			h.cancel()
			delete(s.held, address)
			s.stopping = append(s.stopping, h)
		}
	}
	for address, a := range s.holders.Holders {
		if _, held := s.held[address]; held || a.Steward != s.config.Address {
			continue
		}
		running, cancel := context.WithCancel(ctx)
		h := &heldEndpoint{address: address, assignment: a, cancel: cancel}
		h.holder = holder.New(holder.Config{Endpoint: address, Assignment: a, Lease: s.config.Lease},
			holder.WithLog(s.log), holder.WithMetrics(s.metrics), holder.WithEngine(s.engine), holder.WithFetchReport(s.fetchReport),
			holder.WithSendOrder(s.sendOrder), holder.WithVerifyHolder(func(ctx context.Context) bool { return s.verifyHolder(ctx, address, a.Fence) }),
			holder.WithStateListener(func(state endpoint.State, changed bool) { s.updateState(h, state, changed) }))
		h.done = h.holder.Run(running)
		s.held[address] = h
	}
}

// stopHolders stops all holders and waits for them.
func (s *Steward) stopHolders() {
	s.mu.Lock()
	held := slices.AppendSeq(s.stopping, maps.Values(s.held))
	s.mu.Unlock()
	for _, h := range held {
		h.cancel()
		s.logHolderStopped(h, <-h.done)
	}
}

func (s *Steward) logHolderStopped(h *heldEndpoint, err error) {
	s.log.Info("endpoint no longer held", "address", h.address, "fence", h.assignment.Fence, "error", logging.ErrorText(err))
}

func (s *Steward) updateState(h *heldEndpoint, state endpoint.State, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.state, h.unreported = state, true
	if changed {
		notify(s.holderWake)
	}
}

// engine returns a service's engine in the active table, or nil if there is none.
func (s *Steward) engine(service string) *route.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return nil
	}
	found, _ := s.table.Service(service)
	return found.Engine
}

// verifyHolder reports whether this steward still holds an endpoint under a fencing token, according to the current log.
func (s *Steward) verifyHolder(ctx context.Context, address string, fence uint64) bool {
	if !s.verifyQuorum(ctx) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.holders.Holders[address]
	return a.Steward == s.config.Address && a.Fence == fence
}

// verifyQuorum reports whether this steward has applied everything that was committed up to holder.MaxProofAge ago.
func (s *Steward) verifyQuorum(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, quorumCheckTimeout)
	defer cancel()
	select {
	case s.quorumCheck <- struct{}{}:
		defer func() { <-s.quorumCheck }()
	case <-ctx.Done():
		return false
	}
	if time.Since(s.quorumVerifiedAt) < holder.MaxProofAge {
		return true
	}
	start := time.Now()
	if _, err := s.quorumLog.ReadBarrier(ctx); err != nil {
		s.log.Info("no orders issued without a quorum", "error", err.Error())
		return false
	}
	s.quorumVerifiedAt = start
	return time.Since(start) < holder.MaxProofAge
}

// reportToLeader reports the held endpoints to the leader: those with unreported changes, or all of them if the leader is not the
// one that was reported to last. It returns the leader's address, or "" if there was no report or it failed.
func (s *Steward) reportToLeader(ctx context.Context, lastLeader string) string {
	address, self := s.quorumLog.Leader()
	if self {
		address = s.config.Address
	}
	if address == "" || s.quorumLog.WriteAge() > maxDiskOutage {
		return ""
	}
	report := &wirepb.HolderReport{Steward: s.config.Address}
	s.mu.Lock()
	for _, endpointAddress := range slices.Sorted(maps.Keys(s.held)) {
		h := s.held[endpointAddress]
		if h.holder.Ready() {
			report.Ready = append(report.Ready, &wirepb.HolderEntry{Endpoint: endpointAddress, Fence: h.assignment.Fence})
		}
		if h.state.Load != nil && (h.unreported || address != lastLeader) {
			report.Endpoints = append(report.Endpoints, h.state.ToWire())
			h.unreported = false
		}
	}
	s.mu.Unlock()
	if self {
		s.setUsedAdapters(s.handleHolderReport(ctx, report).GetHolderReportReply())
		return address
	}
	reply, err := s.pool.Call(ctx, address, &wirepb.Frame{Body: &wirepb.Frame_HolderReport{HolderReport: report}}, holderReportTimeout)
	if err != nil || !reply.GetHolderReportReply().GetLeads() {
		return "" // the next report covers all endpoints
	}
	s.setUsedAdapters(reply.GetHolderReportReply())
	return address
}

// setUsedAdapters passes the adapters in use, as reported by the leader, to the holders.
func (s *Steward) setUsedAdapters(reply *wirepb.HolderReportReply) {
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

// handleHolderReport records a steward's report on the endpoints that it holds.
func (s *Steward) handleHolderReport(_ context.Context, r *wirepb.HolderReport) *wirepb.Frame {
	_, self := s.quorumLog.Leader()
	reply := &wirepb.HolderReportReply{Leads: self}
	if self {
		now := time.Now()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.lastReportAt[r.GetSteward()] = now
		for _, e := range r.GetReady() {
			s.readyFences[e.GetEndpoint()] = e.GetFence()
			if used := s.adaptersInUse[e.GetEndpoint()]; used != nil {
				reply.InUse = append(reply.InUse, used)
			}
		}
		for _, e := range r.GetEndpoints() {
			state := endpoint.FromWire(e)
			s.reports[state.Address] = endpointReport{at: now, state: state}
		}
		if len(r.GetEndpoints()) > 0 {
			notify(s.leaderWake)
		}
	}
	return &wirepb.Frame{Body: &wirepb.Frame_HolderReportReply{HolderReportReply: reply}}
}

// handleEndpointOrder carries out the leader's order on a model at an endpoint held by this steward.
func (s *Steward) handleEndpointOrder(ctx context.Context, o *wirepb.EndpointOrder) *wirepb.Frame {
	outcome, err := scaling.OutcomeRefused, error(holder.ErrNotHolder{Endpoint: o.GetAddress()})
	if h := s.holderOf(o.GetAddress()); h != nil {
		outcome, err = h.ExecuteOrder(ctx, o)
	}
	reply := &wirepb.EndpointOrderReply{Outcome: uint32(outcome), Error: logging.ErrorText(err)}
	return &wirepb.Frame{Body: &wirepb.Frame_EndpointOrderReply{EndpointOrderReply: reply}}
}

// handleAdapterCall loads an adapter at an endpoint held by this steward.
func (s *Steward) handleAdapterCall(ctx context.Context, call *wirepb.AdapterCall) *wirepb.Frame {
	verdict, err := scaling.VerdictUnavailable, error(holder.ErrNotHolder{Endpoint: call.GetAddress()})
	if h := s.holderOf(call.GetAddress()); h != nil {
		verdict, err = h.LoadAdapter(ctx, call)
	}
	held := verdict == scaling.VerdictLoaded
	reply := &wirepb.AdapterReply{Accepted: held || verdict == scaling.VerdictLoading, Held: held, Error: logging.ErrorText(err)}
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
