package control

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"burdocksaddle/fleet"
	"burdocksaddle/placement"
)

// TestLoadTimesAreRecordedInOrder guards against estimates of the store that depend on the order in which maps are read.
func TestLoadTimesAreRecordedInOrder(t *testing.T) {
	type outcome struct {
		Seconds float64
		Slots   int
	}
	play := func() outcome {
		p, machine, loaded := newPlanner(), NewStateMachine(), fleet.Snapshot{}
		machine.catalog = testCatalog()
		for id := range uint64(6) {
			endpoint := fmt.Sprint("e", id)
			loaded.Endpoints = append(loaded.Endpoints, fleet.Endpoint{Name: endpoint, Service: "assist", MemoryMB: 100})
			replica := fleet.Replica{ID: id + 1, Endpoint: endpoint, Model: "m0", MemoryMB: 10, Source: string(placement.Remote), State: fleet.Loaded, SinceMS: int64(2000 * (id + 1))}
			loaded.Replicas = append(loaded.Replicas, replica)
			p.pendingLoads[replica.ID] = replica
		}
		machine.fleet = fleet.Import(loaded)
		p.recordLoadTimes(machine)
		return outcome{p.policy.Store().Seconds(1000, placement.Remote), p.policy.Store().Slots()}
	}
	want := play()
	for n := range 100 {
		if diff := cmp.Diff(want, play()); diff != "" {
			t.Fatalf("play %d: %s", n, diff)
		}
	}
}
