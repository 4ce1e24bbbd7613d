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
	adapterPoll = 2 * time.Millisecond
	// A transit that was given up still counts this long, since the engine may carry it out.
	adapterSettle = time.Second
)

// adapters is the agent's part in the adapter transit budget; the agent's mutex guards it.
type adapters struct {
	held    map[string][]string
	permits int
	until   time.Time
	transit int
	waiting int
	// under way holds the channel that closes when the load of a model's adapter ends.
	underWay map[string]chan struct{}
}

// takePermits takes the portion that control gave; a portion that ran out gives nothing.
func (a *Agent) takePermits(permits int, length time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.adapters.permits, a.adapters.until = permits, time.Now().Add(length)
}

// EnsureAdapter returns once a loaded model has an adapter, within the agent's
// portion of the transit budget; the error is the context's or ErrEngineRefused.
func (a *Agent) EnsureAdapter(ctx context.Context, model, adapter string) error {
	key := model + "\x00" + adapter
	for {
		a.mu.Lock()
		if slices.Contains(a.adapters.held[model], adapter) {
			a.mu.Unlock()
			return nil
		}
		other, busy := a.adapters.underWay[key]
		if !busy {
			ended := make(chan struct{})
			a.adapters.underWay[key] = ended
			a.mu.Unlock()
			err := a.loadAdapter(ctx, model, adapter)
			a.mu.Lock()
			delete(a.adapters.underWay, key)
			a.mu.Unlock()
			close(ended)
			return err
		}
		a.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-other:
		}
	}
}

// loadAdapter holds a permit while the engine loads the adapter.
func (a *Agent) loadAdapter(ctx context.Context, model, adapter string) error {
	if err := a.acquirePermit(ctx); err != nil {
		return err
	}
	err := a.orderAdapter(ctx, model, adapter)
	if _, refused := isRefused(err); refused {
		a.releasePermit()
		return err
	}
	for err == nil {
		var state engineapi.State
		if err = a.get(ctx, engineapi.PathState, &state); err != nil {
			break
		}
		a.noteAdapters(state)
		if hasAdapter(state, model, adapter) {
			a.releasePermit()
			return nil
		}
		if err = pause(ctx, adapterPoll); err != nil {
			break
		}
	}
	// Nobody knows whether it is still in transit.
	time.AfterFunc(adapterSettle, a.releasePermit)
	return err
}

// orderAdapter sends the order, again where a newer fencing number came between.
func (a *Agent) orderAdapter(ctx context.Context, model, adapter string) error {
	for {
		var state engineapi.State
		if err := a.get(ctx, engineapi.PathState, &state); err != nil {
			return err
		}
		err := a.post(ctx, engineapi.PathAdapter, engineapi.Order{Model: model, Adapter: adapter, Fence: state.HighestFence})
		refusal, refused := isRefused(err)
		if !refused || refusal.Status != http.StatusConflict || ctx.Err() != nil {
			return err
		}
	}
}

func (a *Agent) acquirePermit(ctx context.Context) error {
	a.mu.Lock()
	a.adapters.waiting++
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		a.adapters.waiting--
		a.mu.Unlock()
	}()
	for {
		a.mu.Lock()
		free := time.Now().Before(a.adapters.until) && a.adapters.transit < a.adapters.permits
		if free {
			a.adapters.transit++
		}
		a.mu.Unlock()
		if free {
			return nil
		}
		a.nudge()
		if err := pause(ctx, adapterPoll); err != nil {
			return err
		}
	}
}

func (a *Agent) releasePermit() {
	a.mu.Lock()
	a.adapters.transit--
	a.mu.Unlock()
}

// nudge wakes the holding duty.
func (a *Agent) nudge() {
	select {
	case a.nudged <- struct{}{}:
	default:
	}
}

func hasAdapter(state engineapi.State, model, adapter string) bool {
	for _, one := range state.Held {
		if one.Model == model && slices.Contains(one.Adapters, adapter) {
			return true
		}
	}
	return false
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// cutCheckpoint splits model@version.
func cutCheckpoint(name string) (model, version string) {
	at := strings.LastIndexByte(name, '@')
	if at < 0 {
		return name, ""
	}
	return name[:at], name[at+1:]
}

func compareCheckpoints(a, b *wirepb.CachedCheckpoint) int {
	return cmp.Or(cmp.Compare(a.GetModel(), b.GetModel()), cmp.Compare(a.GetVersion(), b.GetVersion()))
}
