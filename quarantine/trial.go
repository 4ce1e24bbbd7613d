package quarantine

import "time"

const (
	// firstTrial is how long after its quarantine a request is tried, which lets a sound one back that was only running at the crashes. Each
	// further trial takes trialFactor times as long.
	firstTrial  = 10 * time.Second
	trialFactor = 6
	// maxTrials keeps a request that goes on crashing endpoints below the three that may reach them after the third crash.
	maxTrials = 2
	// trialInterval separates the trials of two requests, so that one does not end with the crash under another.
	trialInterval = time.Second
)

// Trials tells when the requests that a Table quarantines may be tried again. It isn't safe for concurrent use.
type Trials struct {
	states map[uint64]trialState
	// nextAt is when the next trial of any request may begin.
	nextAt time.Time
}

// trialState is what is known of a request: how often it was tried, and when it may be tried next.
type trialState struct {
	trials int
	due    time.Time
}

// Update applies a table that is in force from now on.
func (t *Trials) Update(table Table, now time.Time) {
	states := map[uint64]trialState{}
	for _, r := range table.Requests {
		state, known := t.states[r.Key]
		if !known || state.trials != r.Trials {
			state = trialState{r.Trials, now.Add(trialDelay(r.Trials))}
		}
		states[r.Key] = state
	}
	t.states = states
}

// trialDelay returns the time from the last trial, or from the quarantine, to the next trial.
func trialDelay(trials int) time.Duration {
	if trials >= maxTrials {
		return requestDuration
	}
	d := firstTrial
	for range trials {
		d *= trialFactor
	}
	return d
}

// Wait returns how long a quarantined request must wait for its next trial, 0 if that is due.
func (t *Trials) Wait(key uint64, now time.Time) time.Duration {
	return max(t.states[key].due.Sub(now), 0)
}

// Postpone defers the next trial of a request.
func (t *Trials) Postpone(key uint64, until time.Time) {
	if state, known := t.states[key]; known && state.due.Before(until) {
		state.due = until
		t.states[key] = state
	}
}

// Take grants the trial of a request, or returns how long it must wait. A granted one counts even if it is never recorded in the table.
func (t *Trials) Take(key uint64, now time.Time) (wait time.Duration) {
	state, known := t.states[key]
	if !known {
		return trialInterval // the asking gateway has another table
	}
	if wait = max(state.due.Sub(now), t.nextAt.Sub(now), 0); wait > 0 {
		return wait
	}
	t.nextAt = now.Add(trialInterval)
	t.Postpone(key, now.Add(trialDelay(state.trials+1)))
	return 0
}
