package agent

import (
	"context"
	"net/http"
	"time"

	"burdocksaddle/engineapi"
	"burdocksaddle/wirepb"
)

const (
	// resumeGrace is how long a run without a reader waits to be resumed.
	resumeGrace  = 10 * time.Second
	reapInterval = time.Second
)

// runs holds what the engine generates for this agent's dispatches, by the run's name.
type runs map[string]*run

// run is one generation; it outlives a lost connection for a while.
type run struct {
	// id is the run's name at the engine, which differs after it was started again.
	id      string
	readers int
	left    time.Time
	// done tells that the engine has ended it; it is kept for a reader that lost the end.
	done bool
}

func (r runs) known(name string) bool { return r[name] != nil }

// abandoned removes and returns the runs that nobody resumed in time.
func (r runs) abandoned(now time.Time) []string {
	var ids []string
	for name, one := range r {
		if one.readers == 0 && now.Sub(one.left) >= resumeGrace {
			if !one.done {
				ids = append(ids, one.id)
			}
			delete(r, name)
		}
	}
	return ids
}

func runName(d *wirepb.Dispatch) string {
	if d.GetRunId() != "" {
		return d.GetRunId()
	}
	return d.GetRequestId()
}

// attach registers a reader of a run and tells whether the run was there before.
func (a *Agent) attach(name string) (one *run, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	one, known = a.runs[name]
	if !known {
		one = &run{id: name}
		a.runs[name] = one
	}
	one.readers++
	return one, known
}

func (a *Agent) runID(one *run) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return one.id
}

// renameRun notes the name under which the engine began a run again.
func (a *Agent) renameRun(one *run, id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	one.id = id
}

// detach takes a reader away; a run that nobody comes back for is forgotten at once.
func (a *Agent) detach(name string, one *run, gone, done bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	one.readers--
	one.left = time.Now()
	one.done = one.done || done
	if gone && a.runs[name] == one {
		delete(a.runs, name)
	}
}

// reap is the duty that cancels runs whose entry never came back.
func (a *Agent) reap(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick := time.NewTicker(reapInterval)
		defer tick.Stop()
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case now := <-tick.C:
				a.mu.Lock()
				ids := a.runs.abandoned(now)
				a.mu.Unlock()
				for _, id := range ids {
					a.cancelRun(ctx, id)
				}
			}
		}
		ended <- nil
	}()
	return ended
}

// cancelRun frees the engine of a run that nobody reads.
func (a *Agent) cancelRun(ctx context.Context, id string) {
	if !a.isModel() {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), engineTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, a.settings.Agent.EndpointURL+engineapi.PathCancel+id, nil)
	if err != nil {
		return
	}
	response, err := a.http.Do(request)
	if err != nil {
		a.log.V(1).Info("cancel not sent", "run", id, "error", err.Error())
		return
	}
	_ = response.Body.Close()
}
