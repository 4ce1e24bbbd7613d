package demo

import "burdocksaddle/catalog"

// Catalog returns the catalog of the demo.
func Catalog() catalog.Catalog {
	return catalog.Catalog{
		Services: []catalog.Service{
			{Name: modelService, Kind: catalog.KindModel},
			{Name: plainService, Kind: catalog.KindPlain, NonIdempotent: []string{"POST /bookings"}},
		},
		Models: []catalog.Model{
			model("fault-notes"), model("quotes"), model("crimp-specs"),
			model("parts-lookup"), model("call-summaries"), model("manuals"),
		},
		Adapters: []catalog.Adapter{{Name: "quotes-harvesters", Model: "quotes"}, {Name: "quotes-cranes", Model: "quotes"}},
		Presets: []catalog.Preset{
			{Name: "Ordinary", ColdStartWeight: 1, IdleWeight: 1, MaxKeepWarmSeconds: 600, QueueLimit: 512},
			{Name: "Peak", ColdStartWeight: 3, IdleWeight: 1, MaxKeepWarmSeconds: 1800, QueueLimit: 1024},
			{Name: "Maintenance", ColdStartWeight: 1, IdleWeight: 3, MaxKeepWarmSeconds: 60, QueueLimit: 256},
		},
		Preset: "Ordinary",
	}
}

const (
	modelService  = "shop-assist"
	plainService  = "dispatch-desk"
	modelMemoryMB = 20_000
)

func model(name string) catalog.Model {
	return catalog.Model{Name: name, Service: modelService, Version: "1", MemoryMB: modelMemoryMB, CheckpointMB: modelMemoryMB, MaxReplicas: 2}
}
