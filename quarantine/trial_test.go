package quarantine

import (
	"testing"
	"time"
)

// TestTrials checks when a quarantined request may be tried, and that it may not more than maxTrials times.
func TestTrials(t *testing.T) {
	var trials Trials
	table, start := Table{}.WithBlamedRequest(7).WithBlamedRequest(8), testStart
	trials.Update(table, start)
	expect := func(what string, key uint64, at, want time.Duration) {
		t.Helper()
		if got := trials.Take(key, start.Add(at)); got != want {
			t.Errorf("%s: wait %v, want %v", what, got, want)
		}
	}
	expect("at once", 7, 0, firstTrial)
	expect("not quarantined", 9, 0, trialInterval)
	expect("first trial", 7, firstTrial, 0)
	expect("the other request right after it", 8, firstTrial, trialInterval)
	expect("the other request", 8, firstTrial+trialInterval, 0)
	expect("granted before it is in the table", 7, firstTrial+2*trialInterval, trialFactor*firstTrial-2*trialInterval)
	table = table.WithTrial(7)
	trials.Update(table, start.Add(firstTrial))
	second := firstTrial + trialFactor*firstTrial
	expect("before the second trial", 7, second-time.Second, time.Second)
	expect("second trial", 7, second, 0)
	trials.Update(table.WithTrial(7), start.Add(second))
	expect("no third trial", 7, second+time.Minute, requestDuration-time.Minute)
}

// TestTrialsSurviveUnrelatedChanges checks that a change of the table does not make other requests wait longer.
func TestTrialsSurviveUnrelatedChanges(t *testing.T) {
	var trials Trials
	table := Table{}.WithBlamedRequest(7)
	trials.Update(table, testStart)
	trials.Update(table.WithBlamedRequest(8), testStart.Add(firstTrial/2))
	if wait := trials.Wait(7, testStart.Add(firstTrial)); wait != 0 {
		t.Errorf("wait %v", wait)
	}
	trials.Postpone(7, testStart.Add(firstTrial+time.Second))
	if wait := trials.Wait(7, testStart.Add(firstTrial)); wait != time.Second {
		t.Errorf("wait %v after it was postponed", wait)
	}
}
