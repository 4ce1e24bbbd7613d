package scaling

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/endpoint"
)

// TestLimitedEndpointIsNoReplica checks when a model gets another replica because its only endpoint names a limit.
func TestLimitedEndpointIsNoReplica(t *testing.T) {
	tests := map[string]struct {
		limit endpoint.Limit
		want  bool
	}{
		"no limit":                   {endpoint.Limit{}, false},
		"more requests than allowed": {endpoint.Limit{Named: true, PerSecond: 0.1}, true},
		"fewer requests":             {endpoint.Limit{Named: true, PerSecond: 1000}, false},
		"none wanted":                {endpoint.Limit{Named: true}, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newSimulation(t, 2, 4)
			w.addModel(0, modelName(0))
			w.addDiskCopy(1, modelName(0))
			w.run(time.Second, func(time.Duration) {})
			w.planner.RecordLimit(endpoint.Incarnation{ID: "w00"}, test.limit, w.now)
			w.running[modelName(0)] = 1
			w.run(5*time.Second, func(time.Duration) { w.arrivals[modelName(0)], w.missed[modelName(0)] = 1, 1 })
			if got := w.simEndpoints[1].state.Holds(modelName(0)); got != test.want {
				t.Errorf("loaded elsewhere: %t", got)
			}
		})
	}
}

// TestLimitedEndpointGetsNoModel checks that a model is loaded on an endpoint without a limit, although another one would load it faster.
func TestLimitedEndpointGetsNoModel(t *testing.T) {
	w := newSimulation(t, 2, 4)
	w.run(time.Second, func(time.Duration) {})
	w.planner.RecordLimit(endpoint.Incarnation{ID: "w00"}, endpoint.Limit{Named: true, PerSecond: 100}, w.now)
	w.addDiskCopy(0, modelName(0))
	w.run(10*time.Second, func(time.Duration) {
		w.arrivals[modelName(0)], w.missed[modelName(0)], w.waiting[modelName(0)] = 1, 1, 9
	})
	if w.simEndpoints[0].state.Holds(modelName(0)) || !w.simEndpoints[1].state.Holds(modelName(0)) {
		t.Errorf("loaded on the limited endpoint: %t, on the other one: %t", w.simEndpoints[0].state.Holds(modelName(0)), w.simEndpoints[1].state.Holds(modelName(0)))
	}
}

// TestIdleLimitedEndpointIsNoSpareCapacity checks that a model whose only unlimited endpoint is saturated gets another replica, although one
// with a limit is idle.
func TestIdleLimitedEndpointIsNoSpareCapacity(t *testing.T) {
	w := newSimulation(t, 3, 4)
	w.addModel(0, modelName(0))
	w.addModel(1, modelName(0))
	w.addDiskCopy(2, modelName(0))
	w.run(20*time.Second, func(time.Duration) { w.arrivals[modelName(0)] = 1 }) // the assumed demand of a new leader is forgotten
	w.planner.RecordLimit(endpoint.Incarnation{ID: "w00"}, endpoint.Limit{Named: true, PerSecond: 0.1}, w.now)
	w.running[modelName(0)], w.simEndpoints[1].state.Load.Running = 5, 31
	w.run(5*time.Second, func(time.Duration) { w.arrivals[modelName(0)] = 1 })
	if !w.simEndpoints[2].state.Holds(modelName(0)) {
		t.Error("no further replica")
	}
}

// TestRecordLimit checks that the newest news of a limit count, and those of a former run don't.
func TestRecordLimit(t *testing.T) {
	w := newSimulation(t, 1, 1)
	now, two := w.now, endpoint.Limit{Named: true, PerSecond: 2}
	w.simEndpoints[0].state.StartMS = 1
	w.run(time.Second, func(time.Duration) {})
	steps := []struct {
		name    string
		of      endpoint.Incarnation
		limit   endpoint.Limit
		at      time.Duration
		changed bool
	}{
		{"named", endpoint.Incarnation{ID: "w00"}, two, time.Second, true},
		{"named again", endpoint.Incarnation{ID: "w00", StartMS: 1}, two, 2 * time.Second, false},
		{"an older response without it", endpoint.Incarnation{ID: "w00"}, endpoint.Limit{}, time.Second, false},
		{"of another run", endpoint.Incarnation{ID: "w00", StartMS: 2}, endpoint.Limit{}, 3 * time.Second, false},
		{"a newer one", endpoint.Incarnation{ID: "w00"}, endpoint.Limit{}, 3 * time.Second, true},
		{"of an unknown endpoint", endpoint.Incarnation{ID: "w9"}, two, 4 * time.Second, false},
	}
	var want, got []bool
	for _, step := range steps {
		want = append(want, step.changed)
		got = append(got, w.planner.RecordLimit(step.of, step.limit, now.Add(step.at)))
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
