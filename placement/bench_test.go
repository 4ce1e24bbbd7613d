package placement

import (
	"fmt"
	"strconv"
	"testing"

	"burdocksaddle/catalog"
	"burdocksaddle/fleet"
)

// BenchmarkDecide measures a decision round in which every requested model is already loaded.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []struct{ endpoints, models int }{{20, 75}, {200, 75}, {2_000, 75}, {200, 10}, {200, 750}} {
		b.Run(fmt.Sprintf("endpoints=%d/models=%d", size.endpoints, size.models), func(b *testing.B) {
			f, policy, now := fleet.New(), New(WithStore(1e9, 1e6)), int64(1_000)
			for i := range size.endpoints {
				f.Register(fleet.Endpoint{Name: "e" + strconv.Itoa(i), Service: service, Process: "p", MemoryMB: 80 * gigabyte, Slots: 4}, uint64(i+1), now)
			}
			var models []catalog.Model
			var demands []Demand
			for i := range size.models {
				models = append(models, model("m"+strconv.Itoa(i), 1))
				demands = append(demands, Demand{Model: models[i].Name, Waiting: 1, EarliestDeadlineMS: now + 60_000})
			}
			s := Situation{NowMS: now, Catalog: catalogOf(models...), Fleet: f, Demands: demands,
				CheckpointSource: func(string, string, string) Source { return Remote }}
			policy.Decide(s) // fills the token bucket, which a new leader starts empty
			s.NowMS += 1_000
			for _, d := range policy.Decide(s) {
				_, err := f.Decide(fleet.Replica{Endpoint: d.Endpoint, Incarnation: d.Incarnation, Model: d.Model.Name, Version: d.Model.Version, MemoryMB: d.Model.MemoryMB}, d.Limit, now)
				if err != nil {
					b.Fatal(err)
				}
			}
			for _, e := range f.Endpoints() {
				inventory := fleet.Inventory{Endpoint: e.Name, Incarnation: e.Incarnation, Sequence: 1}
				for _, r := range f.Replicas(e.Name) {
					inventory.Held = append(inventory.Held, fleet.ReportedReplica{ID: r.ID, Model: r.Model, Version: r.Version, MemoryMB: r.MemoryMB, Fence: r.Fence, State: fleet.Loaded})
				}
				if err := f.Report(inventory, now); err != nil {
					b.Fatal(err)
				}
			}
			if len(f.Models()) != size.models {
				b.Fatalf("%d models loaded", len(f.Models()))
			}
			for i := range demands {
				demands[i] = Demand{Model: demands[i].Model, Running: 1}
			}
			for b.Loop() {
				s.NowMS += 100
				policy.Decide(s)
			}
		})
	}
}
