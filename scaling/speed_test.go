package scaling

import (
	"testing"
	"time"

	"burdocksaddle/endpoint"
)

// TestSlowReplicasCountLess guards against a busy model that gets no further replica because its slow ones count like those at the mean speed.
func TestSlowReplicasCountLess(t *testing.T) {
	for _, test := range []struct {
		speed float64
		want  int
	}{{0, 2}, {1, 2}, {0.6, 3}, {1.5, 2}} {
		w := newSimulation(t, 4, 2)
		speeds := map[string]float64{"w00": test.speed, "w01": test.speed}
		for i := range 4 {
			w.addDiskCopy(i, modelName(0))
		}
		for i := range 2 {
			w.addModel(i, modelName(0))
		}
		w.running[modelName(0)] = 2*targetConcurrency - 2
		w.run(3*time.Second, func(time.Duration) {
			w.planner.SetSpeeds(func(i endpoint.Incarnation) float64 { return speeds[i.ID] })
		})
		if got := w.replicaCount(modelName(0)); got != test.want {
			t.Errorf("%d replicas at speed %v, want %d", got, test.speed, test.want)
		}
	}
}

// TestBusyModelsGoToFastEndpoints guards against a busy model that is loaded on a slow endpoint while a fast one has room.
func TestBusyModelsGoToFastEndpoints(t *testing.T) {
	w := newSimulation(t, 4, 2)
	speeds := map[string]float64{"w00": 1, "w01": 0.6, "w02": 1, "w03": 1.6}
	for i := range 4 {
		w.addDiskCopy(i, modelName(0))
	}
	w.addModel(0, modelName(0))
	w.step() // speeds are set for endpoints that the planner knows
	w.running[modelName(0)] = 2 * targetConcurrency
	for range 40 {
		w.planner.SetSpeeds(func(i endpoint.Incarnation) float64 { return speeds[i.ID] })
		w.step()
	}
	if !w.simEndpoints[3].state.Holds(modelName(0)) || w.simEndpoints[1].state.Holds(modelName(0)) {
		t.Errorf("held by the fast endpoint: %v, by the slow one: %v", w.simEndpoints[3].state.Holds(modelName(0)), w.simEndpoints[1].state.Holds(modelName(0)))
	}
}
