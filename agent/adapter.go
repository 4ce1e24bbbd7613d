package agent

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"burdocksaddle/engineapi"
	"burdocksaddle/wirepb"
)

const (
	adapterPollInterval = 2 * time.Millisecond
	// abandonedPermitHold is how long a permit stays taken after its adapter load was abandoned, since the engine may still complete it.
	abandonedPermitHold = time.Second
)

// adapterState tracks loaded adapters and this agent's share of the adapter transit budget. It is guarded by Agent.mu.
type adapterState struct {
	loaded           map[string][]string
	permits          int
	permitsExpire    time.Time
	permitsInUse     int
	waitingForPermit int
	// inFlight maps a model and adapter to a channel that is closed when the load in progress ends.
	inFlight map[string]chan struct{}
}

// setPermits stores the permits granted by control. They expire after length.
func (a *Agent) setPermits(permits int, length time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.adapters.permits, a.adapters.permitsExpire = permits, time.Now().Add(length)
}

// EnsureAdapter loads an adapter into a loaded model if needed and waits until it is available. Loads are limited by the
// permits granted to this agent. It returns the context's error, an ErrEngineRefused or another error from the engine call.
func (a *Agent) EnsureAdapter(ctx context.Context, model, adapter string) error {
	key := model + "\x00" + adapter
	for {
		a.mu.Lock()
		if slices.Contains(a.adapters.loaded[model], adapter) {
			a.mu.Unlock()
			return nil
		}
		otherLoad, busy := a.adapters.inFlight[key]
		if !busy {
			loadDone := make(chan struct{})
			a.adapters.inFlight[key] = loadDone
			a.mu.Unlock()
			err := a.loadAdapter(ctx, model, adapter)
			a.mu.Lock()
			delete(a.adapters.inFlight, key)
			a.mu.Unlock()
			close(loadDone)
			return err
		}
		a.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-otherLoad:
		}
	}
}

// loadAdapter acquires a permit, orders the adapter load and polls the engine until the adapter is loaded.
func (a *Agent) loadAdapter(ctx context.Context, model, adapter string) error {
	if err := a.acquirePermit(ctx); err != nil {
		return err
	}
	err := a.sendAdapterOrder(ctx, model, adapter)
	if _, refused := asEngineRefused(err); refused {
		a.releasePermit()
		return err
	}
	for err == nil {
		var state engineapi.State
		if err = a.getEngine(ctx, engineapi.PathState, &state); err != nil {
			break
		}
		a.recordEngineState(state)
		if hasAdapter(state, model, adapter) {
			a.releasePermit()
			return nil
		}
		if err = sleepContext(ctx, adapterPollInterval); err != nil {
			break
		}
	}
	// The engine may still be loading the adapter, so the permit is released only after a delay.
	time.AfterFunc(abandonedPermitHold, a.releasePermit)
	return err
}

// sendAdapterOrder sends the load order and retries with the engine's current fencing token after a conflict.
func (a *Agent) sendAdapterOrder(ctx context.Context, model, adapter string) error {
	for {
		var state engineapi.State
		if err := a.getEngine(ctx, engineapi.PathState, &state); err != nil {
			return err
		}
		err := a.postEngine(ctx, engineapi.PathAdapter, engineapi.Order{Model: model, Adapter: adapter, Fence: state.HighestFence})
		refusal, refused := asEngineRefused(err)
		if !refused || refusal.Status != http.StatusConflict || ctx.Err() != nil {
			return err
		}
	}
}

func (a *Agent) acquirePermit(ctx context.Context) error {
	a.mu.Lock()
	a.adapters.waitingForPermit++
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.adapters.waitingForPermit--
		a.mu.Unlock()
	}()
	for {
		a.mu.Lock()
		acquired := time.Now().Before(a.adapters.permitsExpire) && a.adapters.permitsInUse < a.adapters.permits
		if acquired {
			a.adapters.permitsInUse++
		}
		a.mu.Unlock()
		if acquired {
			return nil
		}
		a.wakeReconciler()
		if err := sleepContext(ctx, adapterPollInterval); err != nil {
			return err
		}
	}
}

func (a *Agent) releasePermit() {
	a.mu.Lock()
	a.adapters.permitsInUse--
	a.mu.Unlock()
}

// wakeReconciler triggers the next reconciliation without waiting for its poll interval.
func (a *Agent) wakeReconciler() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func hasAdapter(state engineapi.State, model, adapter string) bool {
	for _, replica := range state.Held {
		if replica.Model == model && slices.Contains(replica.Adapters, adapter) {
			return true
		}
	}
	return false
}

func sleepContext(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// splitCheckpoint splits a checkpoint name of the form model@version.
func splitCheckpoint(name string) (model, version string) {
	separator := strings.LastIndexByte(name, '@')
	if separator < 0 {
		return name, ""
	}
	return name[:separator], name[separator+1:]
}

func compareCheckpoints(a, b *wirepb.CachedCheckpoint) int {
	return cmp.Or(cmp.Compare(a.GetModel(), b.GetModel()), cmp.Compare(a.GetVersion(), b.GetVersion()))
}
