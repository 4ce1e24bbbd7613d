package replay

import (
	"math"

	"burdocksaddle/catalog"
	"burdocksaddle/placement"
)

// Names of the compared policies and bounds.
const (
	PolicyPlacement  = "placement"
	PolicyFixed1Min  = "fixed 1 min"
	PolicyFixed10Min = "fixed 10 min"
	PolicyFixed60Min = "fixed 60 min"
	PolicyAlwaysOn   = "always on"
	PolicyNeverKept  = "never kept"
	BoundOnDemand    = "clairvoyant, loads on demand"
	BoundPreload     = "clairvoyant, loads ahead"
)

// candidate is one of the compared policies.
type candidate struct {
	name    string
	options []placement.Option
	// loadAll keeps a replica of every model loaded from the start.
	loadAll bool
}

func fixedKeepAlive(seconds float64) placement.Option {
	return placement.WithKeepWarm(func(*placement.Gaps, *placement.Gaps, placement.Costs) *placement.Plan {
		return &placement.Plan{Windows: []placement.Window{{To: seconds}}}
	})
}

func options(all ...placement.Option) []placement.Option { return all }

func candidates() []candidate {
	return []candidate{
		{name: PolicyPlacement},
		{name: PolicyFixed1Min, options: options(fixedKeepAlive(60))},
		{name: PolicyFixed10Min, options: options(fixedKeepAlive(600))},
		{name: PolicyFixed60Min, options: options(fixedKeepAlive(3600))},
		{name: PolicyAlwaysOn, options: options(fixedKeepAlive(math.Inf(1))), loadAll: true},
		{name: PolicyNeverKept, options: options(fixedKeepAlive(0))},
	}
}

// WarmUpHours is the part of each generated trace that fills caches and histories before anything is counted.
const WarmUpHours = 24

// Case is one trace on one deployment with one preset.
type Case struct {
	Deployment   Deployment
	Catalog      catalog.Catalog
	Trace        []Arrival
	Replacements []Replacement
	// FromMS is the start of the counted period, EndMS the end of the trace.
	FromMS int64
	EndMS  int64
}

// NewCase generates the trace of a seed with the given number of hours after the warm-up. An empty preset
// selects the deployment's own. It returns catalog.ErrPresetNotExist if there is no such preset.
func NewCase(d Deployment, seed uint64, hours float64, preset string) (Case, error) {
	c, err := d.generateCatalog(seed, preset)
	end := int64((hours + WarmUpHours) * hourMS)
	return Case{
		Deployment: d, Catalog: c, Trace: d.GenerateTrace(seed, hours+WarmUpHours),
		Replacements: d.replacements(seed, end), FromMS: WarmUpHours * hourMS, EndMS: end,
	}, err
}

// WithTrace returns the case with another trace, all of which is counted.
// The models of the trace replace those of the catalog and take their sizes in turn.
func (c Case) WithTrace(trace []Arrival) Case {
	sizes := c.Catalog.Models
	c.Catalog.Models = nil
	known := map[string]bool{}
	c.EndMS = 0
	for _, one := range trace {
		if !known[one.Model] {
			model := sizes[len(known)%len(sizes)]
			model.Name = one.Model
			known[one.Model] = true
			c.Catalog = c.Catalog.WithModel(model)
		}
		c.EndMS = max(c.EndMS, one.AtMS+one.RunMS)
	}
	c.Trace, c.Replacements, c.FromMS, c.EndMS = trace, nil, 0, c.EndMS+deadlineMS
	return c
}

// Hours returns the number of counted hours.
func (c Case) Hours() float64 { return float64(c.EndMS-c.FromMS) / hourMS }

// Run simulates the case with every policy and adds the bounds.
func (c Case) Run() []Result {
	var results []Result
	for _, one := range candidates() {
		results = append(results, c.simulate(one))
	}
	return append(results, c.computeBound(BoundOnDemand), c.computeBound(BoundPreload))
}

func (c Case) simulate(one candidate) Result {
	all := append(options(placement.WithStore(storeRate, storeSlots)), one.options...)
	simulated := c.Catalog
	if one.loadAll {
		for _, model := range simulated.Models {
			model.MinReplicas = 1
			simulated = simulated.WithModel(model)
		}
	}
	s := newSimulation(simulated, c.Deployment.Workers, placement.New(all...))
	s.fromMS = c.FromMS
	s.run(c.Trace, c.Replacements, c.EndMS)
	s.result.Policy = one.name
	return s.result.finish(s.coldSeconds, c.Catalog.ActivePreset())
}
