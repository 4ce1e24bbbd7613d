package control

import (
	"fmt"
	"testing"

	"burdocksaddle/catalog"
)

// BenchmarkApplyChange applies changes of one adapter to catalogs of several sizes and reports the size of the
// snapshot.
func BenchmarkApplyChange(b *testing.B) {
	for _, adapters := range []int{100, 1000, 12_000} {
		b.Run(fmt.Sprint(adapters), func(b *testing.B) {
			m, first := NewStateMachine(), testCatalog()
			for i := range adapters {
				first.Adapters = append(first.Adapters, catalog.Adapter{Name: fmt.Sprint("a", i), Model: "m0"})
			}
			m.Apply(1, changeCommand("kit", "first", 0, catalog.Change{Set: &first}))
			before, err := m.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			for i := 0; b.Loop(); i++ {
				put := catalog.Items{Adapters: []catalog.Adapter{{Name: fmt.Sprint("a", i%adapters), Model: "m0"}}}
				result := m.Apply(uint64(i+2), changeCommand("kit", fmt.Sprint(i), m.catalog.Version, catalog.Change{Put: put}))
				if result.GetErrorCode() != "" {
					b.Fatal(result)
				}
			}
			after, err := m.Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(after)-len(before))/float64(b.N), "snapshot-bytes/change")
			b.ReportMetric(float64(len(before))/float64(adapters), "snapshot-bytes/adapter")
		})
	}
}
