package agent

import (
	"context"
	"net/http"
	"time"

	"burdocksaddle/engineapi"
	"burdocksaddle/wirepb"
)

const (
	// resumeGrace is how long a run without a reader is kept for resumption.
	resumeGrace  = 10 * time.Second
	reapInterval = time.Second
)

// runs holds the active and resumable runs by name.
type runs map[string]*run

// run is a single execution of a request on the engine. It can be resumed for a while after its connection is lost.
type run struct {
	// id identifies the run at the engine. It differs from the name after a restart of the run.
	id         string
	readers    int
	detachedAt time.Time
	// done is set when the response was sent completely. The run is kept in case the reader missed the end.
	done bool
}

func (r runs) known(name string) bool { return r[name] != nil }

// removeAbandoned removes runs that were not resumed in time and returns the IDs of the unfinished ones.
func (r runs) removeAbandoned(now time.Time) []string {
	var ids []string
	for name, activeRun := range r {
		if activeRun.readers == 0 && now.Sub(activeRun.detachedAt) >= resumeGrace {
			if !activeRun.done {
				ids = append(ids, activeRun.id)
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

// attach adds a reader to a run, creating the run if needed. known reports whether the run existed before.
func (a *Agent) attach(name string) (activeRun *run, known bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	activeRun, known = a.runs[name]
	if !known {
		activeRun = &run{id: name}
		a.runs[name] = activeRun
	}
	activeRun.readers++
	return activeRun, known
}

func (a *Agent) runID(activeRun *run) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return activeRun.id
}

// renameRun sets the ID under which the engine restarted the run.
func (a *Agent) renameRun(activeRun *run, id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	activeRun.id = id
}

// detach removes a reader. A run that can't be resumed is removed at once.
func (a *Agent) detach(name string, activeRun *run, notResumable, complete bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	activeRun.readers--
	activeRun.detachedAt = time.Now()
	activeRun.done = activeRun.done || complete
	if notResumable && a.runs[name] == activeRun {
		delete(a.runs, name)
	}
}

// reapRuns periodically cancels runs whose entry did not resume them in time.
func (a *Agent) reapRuns(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		tick := time.NewTicker(reapInterval)
		defer tick.Stop()
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case now := <-tick.C:
				a.mu.Lock()
				ids := a.runs.removeAbandoned(now)
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

// cancelRun cancels a run on the engine that no entry reads any more.
func (a *Agent) cancelRun(ctx context.Context, id string) {
	if !a.servesModels() {
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
		a.log.V(1).Info("failed to cancel run on the engine", "run", id, "error", err.Error())
		return
	}
	_ = response.Body.Close()
}
