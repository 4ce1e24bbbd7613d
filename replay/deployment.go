package replay

import (
	"errors"
	"math/rand/v2"
	"strconv"

	"burdocksaddle/catalog"
)

const (
	service     = "models"
	workerMB    = 80_000
	workerSlots = 16
	// checkpointRatio is the size of a checkpoint relative to the memory that its model takes.
	checkpointRatio = 0.8
)

// Deployment describes a deployment whose placement is simulated.
type Deployment struct {
	Name    string
	Models  int
	Workers int
	Preset  string
	Presets []catalog.Preset
	// OpenHour and CloseHour are the start and end of the working day in local time.
	OpenHour  float64
	CloseHour float64
}

// deployments are the existing deployments, with the weights of their example catalogs.
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

// FindDeployment returns the deployment with a name. It returns ErrDeploymentNotExist if there is none.
func FindDeployment(name string) (Deployment, error) {
	for _, one := range deployments {
		if one.Name == name {
			return one, nil
		}
	}
	return Deployment{}, ErrDeploymentNotExist{Name: name}
}

// generateCatalog generates the models of a deployment, with sizes that depend on the seed.
func (d Deployment) generateCatalog(seed uint64, preset string) (catalog.Catalog, error) {
	random := rand.New(rand.NewPCG(seed, 0x5e55))
	c := catalog.Catalog{Services: []catalog.Service{{Name: service, Kind: catalog.KindModel}}, Presets: d.Presets, Preset: d.Preset}
	for i := range d.Models {
		// Models take from 4 GB up to half the memory of an accelerator.
		memory := uint64(4000 + 500*random.IntN(73))
		c = c.WithModel(catalog.Model{
			Name: modelName(i), Service: service, Version: "1", MemoryMB: memory,
			CheckpointMB: uint64(float64(memory) * checkpointRatio), MaxReplicas: 3, Priority: 3,
		})
	}
	if preset == "" {
		return c, nil
	}
	return c.WithActivePreset(preset)
}

func modelName(i int) string { return "model-" + strconv.Itoa(100+i) }

// ErrDeploymentNotExist is returned if no deployment has the name.
type ErrDeploymentNotExist struct{ Name string }

// Error implements error.
func (e ErrDeploymentNotExist) Error() string {
	return "deployment " + strconv.Quote(e.Name) + " does not exist; known deployments are tw-west and kingston"
}

// IsErrDeploymentNotExist reports whether err holds an ErrDeploymentNotExist.
func IsErrDeploymentNotExist(err error) bool {
	var target ErrDeploymentNotExist
	return errors.As(err, &target)
}
