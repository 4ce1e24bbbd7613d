package scaling

import (
	"testing"
	"time"

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
