package endpoint

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestTurns checks how many requests endpoints with a limit get.
func TestTurns(t *testing.T) {
	tests := map[string]struct {
		// limits are the limits asked for in turn, each for four seconds.
		limits []float64
		want   []int
	}{
		"one a second":     {[]float64{1}, []int{4}},
		"a fraction":       {[]float64{2.8}, []int{12}},
		"less than one":    {[]float64{0.5}, []int{2}},
		"none":             {[]float64{0}, []int{0}},
		"raised":           {[]float64{1, 10}, []int{4, 40}},
		"lowered":          {[]float64{10, 1}, []int{40, 4}},
		"none for a while": {[]float64{2, 0, 2}, []int{8, 0, 8}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			turns, now, i := NewTurns(), time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC), Incarnation{ID: "w1"}
			var got []int
			for _, limit := range test.limits {
				granted := 0
				for range 400 { // every 10 ms
					turn := turns.Take(i, "gateway", limit, now)
					if turn.Granted {
						granted++
					}
					if turn.Granted != (turn.Wait == 0) || turn.Wait > maxTurnWait || turn.Processes != 1 {
						t.Errorf("%+v", turn)
					}
					now = now.Add(10 * time.Millisecond)
				}
				got = append(got, granted)
			}
			for n := range got {
				if diff := got[n] - test.want[n]; diff < -1 || diff > 1 {
					t.Errorf("granted %v, want about %v", got, test.want)
				}
			}
		})
	}
}

// TestTurnsDoNotAddUpWhileUnused checks that an endpoint with a limit gets no burst after a time without requests.
func TestTurnsDoNotAddUpWhileUnused(t *testing.T) {
	turns, now, i := NewTurns(), time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC), Incarnation{ID: "w1"}
	turns.Take(i, "gateway", 2, now)
	now = now.Add(turnRetention / 2)
	granted := 0
	for range 10 {
		if turns.Take(i, "gateway", 2, now).Granted {
			granted++
		}
	}
	if granted != 1 {
		t.Errorf("%d turns at once", granted)
	}
}

// TestTurnsCountProcesses checks that only processes that asked lately count as waiting.
func TestTurnsCountProcesses(t *testing.T) {
	turns, now, i := NewTurns(), time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC), Incarnation{ID: "w1"}
	var got []int
	for _, step := range []struct {
		process string
		wait    time.Duration
	}{{"a", 0}, {"b", time.Second}, {"a", time.Second}, {"c", 0}, {"c", askingTTL + time.Second}} {
		now = now.Add(step.wait)
		got = append(got, turns.Take(i, step.process, 2, now).Processes)
	}
	if diff := cmp.Diff([]int{1, 2, 2, 3, 1}, got); diff != "" {
		t.Error(diff)
	}
}

// TestLimitOf checks which limit a gateway applies, by what the endpoint told it and what the leader shows.
func TestLimitOf(t *testing.T) {
	start := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	named, none := Limit{Named: true, PerSecond: 2}, Limit{}
	type heard struct {
		limit      Limit
		sentAt, at time.Duration
	}
	tests := map[string]struct {
		heard         []heard
		leader        Limit
		leaderSettled bool
		startMS       int64
		at            time.Duration
		want          Limit
	}{
		"nothing":                              {leaderSettled: true},
		"only the leader":                      {leader: named, leaderSettled: true, want: named},
		"only a new leader":                    {leader: named, want: named},
		"just told":                            {heard: []heard{{named, 0, time.Second}}, leaderSettled: true, at: 2 * time.Second, want: named},
		"told long ago":                        {heard: []heard{{named, 0, time.Second}}, leaderSettled: true, at: time.Minute},
		"told long ago, no leader":             {heard: []heard{{named, 0, time.Second}}, at: time.Minute, want: named},
		"told another one than the leader":     {heard: []heard{{Limit{true, 5}, 0, time.Second}}, leader: named, leaderSettled: true, at: 2 * time.Second, want: Limit{true, 5}},
		"no longer limited":                    {heard: []heard{{named, 0, time.Second}, {none, 2 * time.Second, 3 * time.Second}}, leader: named, leaderSettled: true, at: 4 * time.Second},
		"a request from before it was limited": {heard: []heard{{named, 0, 2 * time.Second}, {none, time.Second, 3 * time.Second}}, leaderSettled: true, at: 4 * time.Second, want: named},
		"no longer limited, by the leader":     {heard: []heard{{none, 2 * time.Second, 3 * time.Second}}, leader: named, leaderSettled: true, at: 4 * time.Second},
		"another run of the endpoint":          {heard: []heard{{named, 0, time.Second}}, leaderSettled: true, startMS: 9, at: 2 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			n, state := NewNotices(time.Second), State{ID: "w1", StartMS: 7, Limit: test.leader}
			for _, h := range test.heard {
				n.RecordLimit(state, h.limit, start.Add(h.sentAt), start.Add(h.at))
			}
			if test.startMS != 0 {
				state.StartMS = test.startMS
			}
			if diff := cmp.Diff(test.want, n.LimitOf(state, test.leaderSettled, start.Add(test.at))); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestHeardLimits checks what a gateway tells the leader about limits, and that notices of unlimited endpoints don't accumulate.
func TestHeardLimits(t *testing.T) {
	start := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	named := Limit{Named: true, PerSecond: 2}
	n, states := NewNotices(time.Second), map[string]State{"w1": {ID: "w1"}, "w2": {ID: "w2"}, "w3": {ID: "w3", Limit: named}}
	n.RecordLimit(states["w1"], named, start, start)
	n.RecordLimit(states["w2"], Limit{}, start, start)
	n.RecordLimit(states["w3"], Limit{}, start, start)
	want := []HeardLimit{{Incarnation{ID: "w1"}, named, start}, {Incarnation{ID: "w3"}, Limit{}, start}}
	if diff := cmp.Diff(want, n.HeardLimits(states)); diff != "" {
		t.Error(diff)
	}
	states["w1"], states["w3"] = State{ID: "w1", Limit: named}, State{ID: "w3"}
	if heard := n.HeardLimits(states); len(heard) > 0 {
		t.Errorf("reported although the leader shows it: %v", heard)
	}
	n.Update(states, start.Add(limitRetention))
	if _, kept := n.byID["w1"]; !kept || len(n.byID) != 1 {
		t.Errorf("kept %v", n.byID)
	}
	states["w1"] = State{ID: "w1"}
	if n.Update(states, start.Add(limitRetention)); len(n.byID) > 0 {
		t.Errorf("kept a limit that the leader has not shown for long: %v", n.byID)
	}
}
