package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"burdocksaddle/engineapi"
	"burdocksaddle/setting"
	"burdocksaddle/wirepb"
)

const (
	callTimeout = 2 * time.Second
	pollBusy    = 50 * time.Millisecond
	// An order that the engine still does not show is sent again after this.
	resendInterval = 5 * time.Second
	pollIdle       = 500 * time.Millisecond
	engineTimeout  = 2 * time.Second
	maxStateBytes  = 8 << 20
)

// hold is the duty that brings the engine to what the orders say and reports what it holds.
func (a *Agent) hold(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		known := map[uint64]*wirepb.ReplicaOrder{}
		for ctx.Err() == nil {
			wait := pollIdle
			if len(known) > 0 {
				wait = pollBusy
			}
			select {
			case <-ctx.Done():
			case orders := <-a.orders:
				known = a.accept(ctx, orders)
			case <-time.After(wait):
			}
			if a.settings.Agent.Kind == string(setting.KindModel) {
				a.report(ctx, known)
			}
		}
		ended <- nil
	}()
	return ended
}

// accept sends each new order on to the engine.
func (a *Agent) accept(ctx context.Context, orders []*wirepb.ReplicaOrder) map[uint64]*wirepb.ReplicaOrder {
	known := map[uint64]*wirepb.ReplicaOrder{}
	for _, order := range orders {
		if order.GetIncarnation() != a.incarnation {
			continue
		}
		known[order.GetReplica()] = order
		if at, ok := a.sent[order.GetFence()]; ok && time.Since(at) < resendInterval {
			continue
		}
		a.sent[order.GetFence()] = time.Now()
		path := engineapi.PathLoad
		if order.GetUnload() {
			path = engineapi.PathUnload
		}
		err := a.post(ctx, path, engineapi.Order{
			Model: order.GetModel(), Version: order.GetVersion(), MemoryMB: order.GetMemoryMb(),
			Fence: order.GetFence(), Role: order.GetRole(),
		})
		a.log.Info("order sent", "replica", order.GetReplica(), "model", order.GetModel(), "unload", order.GetUnload(), "error", errorText(err))
	}
	return known
}

// report asks the engine what it holds and tells control about the ordered replicas.
func (a *Agent) report(ctx context.Context, known map[uint64]*wirepb.ReplicaOrder) {
	if len(known) == 0 {
		return
	}
	var state engineapi.State
	if err := a.get(ctx, engineapi.PathState, &state); err != nil {
		return
	}
	report := &wirepb.Report{Endpoint: a.settings.Agent.Endpoint, Incarnation: a.incarnation, Fresh: true}
	for id, order := range known {
		report.Replicas = append(report.Replicas, &wirepb.ReplicaView{Id: id, State: stateOf(order, state.Held)})
	}
	for _, address := range a.settings.Controls {
		reply, err := a.pool.Call(ctx, address, &wirepb.Frame{Body: &wirepb.Frame_Report{Report: report}}, callTimeout)
		if err == nil && reply.GetProposeReply().GetCommitted() {
			a.settle(known, report)
			return
		}
	}
}

// settle forgets orders that are done.
func (a *Agent) settle(known map[uint64]*wirepb.ReplicaOrder, report *wirepb.Report) {
	for _, view := range report.GetReplicas() {
		state := view.GetState()
		if state == wirepb.ReplicaState_REPLICA_LOADED || state == wirepb.ReplicaState_REPLICA_GONE {
			a.log.Info("order done", "replica", view.GetId(), "model", known[view.GetId()].GetModel(), "state", state.String())
			delete(a.sent, known[view.GetId()].GetFence())
			delete(known, view.GetId())
		}
	}
}

// stateOf says what the engine's word means for an order.
func stateOf(order *wirepb.ReplicaOrder, held []engineapi.Held) wirepb.ReplicaState {
	for _, one := range held {
		if one.Model != order.GetModel() || one.Version != order.GetVersion() {
			continue
		}
		switch one.State {
		case engineapi.HeldLoading:
			return wirepb.ReplicaState_REPLICA_LOADING
		case engineapi.HeldUnloading:
			return wirepb.ReplicaState_REPLICA_UNLOADING
		default:
			if order.GetUnload() {
				return wirepb.ReplicaState_REPLICA_UNLOADING
			}
			return wirepb.ReplicaState_REPLICA_LOADED
		}
	}
	if order.GetUnload() {
		return wirepb.ReplicaState_REPLICA_GONE
	}
	return wirepb.ReplicaState_REPLICA_DECIDED
}

func (a *Agent) post(ctx context.Context, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return a.ask(ctx, http.MethodPost, path, bytes.NewReader(data), nil)
}

func (a *Agent) get(ctx context.Context, path string, into any) error {
	return a.ask(ctx, http.MethodGet, path, nil, into)
}

func (a *Agent) ask(ctx context.Context, method, path string, body io.Reader, into any) error {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, a.settings.Agent.EndpointURL+path, body)
	if err != nil {
		return err
	}
	response, err := a.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return ErrEngineRefused{Path: path, Status: response.StatusCode}
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(into)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
