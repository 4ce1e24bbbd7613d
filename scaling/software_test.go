package scaling

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/endpoint"
)

// TestSoftwareVersionAfterRestart checks that the version of an endpoint's software is unknown after a restart under the same ID until the
// list shows that run.
func TestSoftwareVersionAfterRestart(t *testing.T) {
	p := New()
	listed := func(startMS int64, software string) []endpoint.State {
		return []endpoint.State{{ID: "w1", Address: "w1:1", Service: "lm", StartMS: startMS, Software: software}}
	}
	steps := []struct {
		what string
		do   func()
		want string
	}{
		{"first listed", func() { p.UpdateEndpoints(listed(1, "v1")) }, "v1"},
		{"reported", func() { p.RecordReport("w1", endpoint.Report{StartMS: 1}, time.Now()) }, "v1"},
		{"restarted", func() { p.RecordReport("w1", endpoint.Report{StartMS: 2}, time.Now()) }, ""},
		{"the list lags", func() { p.UpdateEndpoints(listed(1, "v1")) }, ""},
		{"listed again", func() { p.UpdateEndpoints(listed(2, "v1.1")) }, "v1.1"},
		{"a restart that the list shows first", func() { p.UpdateEndpoints(listed(3, "v1.2")) }, "v1.2"},
	}
	for _, step := range steps {
		step.do()
		if state, _ := p.Endpoint("w1"); state.Software != step.want {
			t.Errorf("%s: version %q, want %q", step.what, state.Software, step.want)
		}
	}
}

// resumedLoadLimit is how long a load for resumed streams may take: their clients leave after 2 s.
const resumedLoadLimit = 1500 * time.Millisecond

// newVersionSimulation returns four endpoints, the first two of which run v1 and the others v2.
func newVersionSimulation(t *testing.T, models int) *simulation {
	w := newSimulation(t, 4, models)
	for n, software := range []string{"v1", "v1", "v2", "v2"} {
		w.simEndpoints[n].state.Software = software
	}
	return w
}

// TestResumedStreamsGetTheirModelAtTheirVersion guards against resumed streams that leave because their model is held by endpoints of
// another version only. The model must be loaded from a local copy at their version within their clients' time, beside twice the target
// of new requests for other models there.
func TestResumedStreamsGetTheirModelAtTheirVersion(t *testing.T) {
	tests := map[string]struct {
		copies []int
		// want is the endpoint that must hold the model, -1 for none of its version.
		want  int
		loads map[Source]int
	}{
		"copy at its version":           {[]int{1, 2, 3}, 1, map[Source]int{SourceDisk: 1}},
		"copies at other versions only": {[]int{2, 3}, -1, map[Source]int{}},
		"copies at both of its version": {[]int{0, 1}, 1, map[Source]int{SourceDisk: 1}},
		"no copy, last for adapters":    {nil, -1, map[Source]int{}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newVersionSimulation(t, 7)
			for i := range 4 {
				w.addModel(i, modelName(1+i))
			}
			w.addModel(0, modelName(5))
			w.addModel(1, modelName(6))
			w.simEndpoints[2].state.Models = append(w.simEndpoints[2].state.Models, endpoint.Model{Name: modelName(0)})
			for _, i := range test.copies {
				w.addDiskCopy(i, modelName(0))
			}
			w.running[modelName(0)], w.running[modelName(1)], w.running[modelName(5)] = 4, 2*targetConcurrency, targetConcurrency
			w.run(2*time.Second, func(time.Duration) {})
			clear(w.loads)
			w.running[modelName(1)], w.running[modelName(2)] = 2, 2
			w.resuming[modelName(0)] = []Resuming{{Software: "v1", Waiting: 3}}
			w.run(resumedLoadLimit, func(time.Duration) {})
			for i := range 2 {
				if holds := w.simEndpoints[i].state.Holds(modelName(0)); holds != (i == test.want) {
					t.Errorf("endpoint %d holds the model: %t", i, holds)
				}
			}
			loaded := w.loads[SourceDisk] + w.loads[SourceMemory] + w.loads[SourceStore]
			if want := test.loads[SourceDisk]; w.loads[SourceStore] > 0 || loaded < want {
				t.Errorf("loads %v, want %v", w.loads, test.loads)
			}
		})
	}
}

// TestLastReplicaStaysForResumedStreams guards against evicting a model from the last endpoint of a version at which its streams may be
// resumed, although an endpoint of another version holds it.
func TestLastReplicaStaysForResumedStreams(t *testing.T) {
	v1 := ModelVersion{modelName(0), "v1"}
	tests := map[string]struct {
		starts   map[ModelVersion]int
		resuming []Resuming
		second   bool
		stays    bool
	}{
		"recent starts":                    {starts: map[ModelVersion]int{v1: 1}, stays: true},
		"waiting resumed streams":          {resuming: []Resuming{{Software: "v1", Waiting: 1}}, stays: true},
		"starts at another version":        {starts: map[ModelVersion]int{{modelName(0), "v2"}: 1}},
		"no starts":                        {},
		"another replica at their version": {starts: map[ModelVersion]int{v1: 1}, second: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newVersionSimulation(t, 5)
			w.addModel(0, modelName(0))
			w.addModel(0, modelName(1))
			w.addModel(2, modelName(0))
			if test.second {
				w.addModel(1, modelName(0))
			}
			w.addDiskCopy(0, modelName(4))
			w.running[modelName(1)] = 2 * targetConcurrency
			w.run(time.Second, func(time.Duration) {})
			w.running[modelName(0)] = 0
			w.planner.RecordStarts(test.starts)
			w.resuming[modelName(0)] = test.resuming
			w.waiting[modelName(4)] = 1
			w.run(resumedLoadLimit, func(time.Duration) {})
			if stays := w.simEndpoints[0].state.Holds(modelName(0)); stays != test.stays {
				t.Errorf("the replica stayed: %t, models %v", stays, w.simEndpoints[0].state.Models)
			}
		})
	}
}

// TestUnmetResumedStreamsAreExplained guards against waits of resumed streams that no log line explains.
func TestUnmetResumedStreamsAreExplained(t *testing.T) {
	tests := map[string]struct {
		prepare func(w *simulation)
		want    Obstacles
	}{
		"no copy": {func(*simulation) {}, Obstacles{Endpoints: 2, WithoutCopy: 2}},
		"no room": {func(w *simulation) {
			for i := range 2 {
				w.addDiskCopy(i, modelName(0))
				w.addModel(i, modelName(1))
				w.addModel(i, modelName(2))
			}
			w.planner.RecordStarts(map[ModelVersion]int{{modelName(1), "v1"}: 9, {modelName(2), "v1"}: 9})
			w.running[modelName(1)], w.running[modelName(2)] = 4*targetConcurrency, 4*targetConcurrency
		}, Obstacles{Endpoints: 2, Full: 2}},
		"no holder": {func(w *simulation) { w.unheld["w00"] = true }, Obstacles{Endpoints: 2, Busy: 1, WithoutCopy: 1}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newVersionSimulation(t, 3)
			w.planner.storeConcurrency = 0
			w.addModel(2, modelName(0))
			test.prepare(w)
			w.resuming[modelName(0)] = []Resuming{{Software: "v1", Waiting: 3}}
			w.run(2*simStep, func(time.Duration) {})
			if diff := cmp.Diff(map[ModelVersion]Obstacles{{modelName(0), "v1"}: test.want}, w.planner.Unmet()); diff != "" {
				t.Errorf("unmet (-want +got):\n%s", diff)
			}
		})
	}
}

// TestResumedStreamsGetModelWithoutCopyAtTheirVersion guards against resumed streams that no endpoint ever serves again because only other
// versions have copies of their model.
func TestResumedStreamsGetModelWithoutCopyAtTheirVersion(t *testing.T) {
	w := newVersionSimulation(t, 3)
	w.addModel(2, modelName(0))
	w.addModel(0, modelName(1))
	w.addModel(1, modelName(2))
	w.resuming[modelName(0)] = []Resuming{{Software: "v1", Waiting: 3}}
	w.run(simStep, func(time.Duration) {})
	w.resuming[modelName(0)] = []Resuming{{Software: "v1", Missed: 3}}
	w.run(simStep, func(time.Duration) {})
	delete(w.resuming, modelName(0))
	w.run(7*time.Second, func(time.Duration) {})
	at := slices.IndexFunc(w.simEndpoints[:2], func(e *simEndpoint) bool { return e.state.Holds(modelName(0)) })
	if at < 0 || w.loads[SourceStore] != 1 {
		t.Errorf("endpoint %d of the version holds the model, loads %v", at, w.loads)
	}
}

// TestBusyModelYieldsToResumedStreams guards against resumed streams that leave because the only endpoint of their version with a copy of
// their model holds models with many requests, which other endpoints of the version hold, too.
func TestBusyModelYieldsToResumedStreams(t *testing.T) {
	w := newVersionSimulation(t, 3)
	w.planner.storeConcurrency = 0
	for i := range 2 {
		w.addModel(i, modelName(1))
		w.addModel(i, modelName(2))
	}
	w.addDiskCopy(0, modelName(0))
	w.running[modelName(1)], w.running[modelName(2)] = 2*targetConcurrency, 2*targetConcurrency
	w.run(time.Second, func(time.Duration) {})
	w.resuming[modelName(0)] = []Resuming{{Software: "v1", Waiting: 4 * targetConcurrency}}
	w.run(resumedLoadLimit, func(time.Duration) {})
	if !w.simEndpoints[0].state.Holds(modelName(0)) {
		t.Errorf("not loaded, models %v", w.simEndpoints[0].state.Models)
	}
}

// TestWaitOfResumedStreams checks the time that gateways are told until a model can serve at a version.
func TestWaitOfResumedStreams(t *testing.T) {
	tests := map[string]struct {
		prepare func(w *simulation)
		want    endpoint.Expected
	}{
		"from the store":         {func(*simulation) {}, endpoint.Expected{Wait: 6*time.Second + planningDelay, Loading: true}},
		"from disk":              {func(w *simulation) { w.addDiskCopy(0, modelName(0)) }, endpoint.Expected{Wait: 500*time.Millisecond + planningDelay, Loading: true}},
		"no load from the store": {func(w *simulation) { w.planner.storeConcurrency = 0 }, endpoint.Expected{Wait: 6*time.Second + planningDelay}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newVersionSimulation(t, 1)
			w.addModel(2, modelName(0))
			test.prepare(w)
			w.resuming[modelName(0)] = []Resuming{{Software: "v1", Waiting: 3}}
			w.run(simStep, func(time.Duration) {})
			want := map[endpoint.Absent]endpoint.Expected{{Model: modelName(0), Software: "v1"}: test.want}
			if diff := cmp.Diff(want, w.planner.MissingModels(w.now)); diff != "" {
				t.Errorf("missing (-want +got):\n%s", diff)
			}
		})
	}
}
