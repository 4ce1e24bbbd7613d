package replay

import (
	"errors"
	"math/rand/v2"
	"strconv"

	"burdocksaddle/catalog"
)

const (
	service       = "models"
	workerMB      = 80_000
	workerSlots   = 16
	checkpointPer = 0.8
)

// Deployment is a site whose placement is replayed.
type Deployment struct {
	Name    string
	Models  int
	Workers int
	Preset  string
	Presets []catalog.Preset
	// OpenHour and CloseHour bound the working day, local time.
	OpenHour  float64
	CloseHour float64
}

// deployments are the sites of today, with the weights of their example catalogs.
var deployments = []Deployment{
	{
		Name: "tw-west", Models: 60, Workers: 18, Preset: "Ordinary", OpenHour: 7, CloseHour: 18,
		Presets: []catalog.Preset{
			{Name: "Ordinary", ColdStartWeight: 3, IdleWeight: 1, MaxKeepWarmSeconds: 1800, FreeShare: 0.1},
			{Name: "Peak", ColdStartWeight: 6, IdleWeight: 1, MaxKeepWarmSeconds: 3600, FreeShare: 0.05},
			{Name: "Maintenance", ColdStartWeight: 2, IdleWeight: 1, MaxKeepWarmSeconds: 900, FreeShare: 0.25},
		},
	},
	{
		Name: "kingston", Models: 40, Workers: 18, Preset: "Ordinary", OpenHour: 8, CloseHour: 20,
		Presets: []catalog.Preset{
			{Name: "Ordinary", ColdStartWeight: 1, IdleWeight: 3, MaxKeepWarmSeconds: 600, FreeShare: 0.05},
			{Name: "Peak", ColdStartWeight: 2, IdleWeight: 2, MaxKeepWarmSeconds: 1200, FreeShare: 0.05},
			{Name: "Maintenance", ColdStartWeight: 1, IdleWeight: 4, MaxKeepWarmSeconds: 300, FreeShare: 0.25},
		},
	},
}

// Find returns the deployment of a name; the error is ErrDeploymentNotExist.
func Find(name string) (Deployment, error) {
	for _, one := range deployments {
		if one.Name == name {
			return one, nil
		}
	}
	return Deployment{}, ErrDeploymentNotExist{Name: name}
}

// catalogOf makes the models of a deployment with sizes that follow from the seed.
func (d Deployment) catalogOf(seed uint64, preset string) (catalog.Catalog, error) {
	random := rand.New(rand.NewPCG(seed, 0x5e55))
	c := catalog.Catalog{Services: []catalog.Service{{Name: service, Kind: catalog.KindModel}}, Presets: d.Presets, Preset: d.Preset}
	for i := range d.Models {
		// From small ones of 4 GB to ones of half an accelerator.
		memory := uint64(4000 + 500*random.IntN(73))
		c = c.WithModel(catalog.Model{
			Name: modelName(i), Service: service, Version: "1", MemoryMB: memory,
			CheckpointMB: uint64(float64(memory) * checkpointPer), MaxReplicas: 3, Priority: 3,
		})
	}
	if preset == "" {
		return c, nil
	}
	return c.WithPresetInForce(preset)
}

func modelName(i int) string { return "model-" + strconv.Itoa(100+i) }

// ErrDeploymentNotExist tells that no deployment has a name.
type ErrDeploymentNotExist struct{ Name string }

// Error implements error.
func (e ErrDeploymentNotExist) Error() string {
	return "deployment " + strconv.Quote(e.Name) + " does not exist; known are tw-west and kingston"
}

// IsErrDeploymentNotExist reports whether err holds an ErrDeploymentNotExist.
func IsErrDeploymentNotExist(err error) bool {
	var target ErrDeploymentNotExist
	return errors.As(err, &target)
}
