package replay

import (
	"math"

	"burdocksaddle/catalog"
	"burdocksaddle/placement"
)

// Names of the policies that are compared.
const (
	PolicyOwn   = "placement"
	PolicyOne   = "fixed 1 min"
	PolicyTen   = "fixed 10 min"
	PolicySixty = "fixed 60 min"
	PolicyOn    = "always on"
	PolicyNever = "never kept"
	BoundDemand = "clairvoyant, loads on demand"
	BoundAhead  = "clairvoyant, loads ahead"
)

// contender is a policy in the comparison.
type contender struct {
	name    string
	options []placement.Option
	// all loads every model from the start on.
	all bool
}

func fixed(seconds float64) placement.Option {
	return placement.WithKeepWarm(func(*placement.Gaps, *placement.Gaps, placement.Costs) *placement.Plan {
		return &placement.Plan{Windows: []placement.Window{{To: seconds}}}
	})
}

func options(all ...placement.Option) []placement.Option { return all }

func contenders() []contender {
	return []contender{
		{name: PolicyOwn},
		{name: PolicyOne, options: options(fixed(60))},
		{name: PolicyTen, options: options(fixed(600))},
		{name: PolicySixty, options: options(fixed(3600))},
		{name: PolicyOn, options: options(fixed(math.Inf(1))), all: true},
		{name: PolicyNever, options: options(fixed(0))},
	}
}

// WarmUpHours of each generated trace fill caches and histories before anything is counted.
const WarmUpHours = 24

// Case is one trace on one deployment under one preset.
type Case struct {
	Deployment Deployment
	Catalog    catalog.Catalog
	Trace      []Arrival
	Replaced   []Replacement
	// FromMS is when counting begins, EndMS when the trace ends.
	FromMS int64
	EndMS  int64
}

// NewCase generates the trace of a seed, so many hours after the warm-up; an
// empty preset is the deployment's own. The error is catalog.ErrPresetNotExist.
func NewCase(d Deployment, seed uint64, hours float64, preset string) (Case, error) {
	c, err := d.catalogOf(seed, preset)
	end := int64((hours + WarmUpHours) * hourMS)
	return Case{
		Deployment: d, Catalog: c, Trace: d.Generate(seed, hours+WarmUpHours),
		Replaced: d.replacements(seed, end), FromMS: WarmUpHours * hourMS, EndMS: end,
	}, err
}

// WithTrace returns the case with another trace, counted whole; models that
// the deployment lacks take the sizes of its models in turn.
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
	c.Trace, c.Replaced, c.FromMS, c.EndMS = trace, nil, 0, c.EndMS+deadlineMS
	return c
}

// Hours returns how many hours are counted.
func (c Case) Hours() float64 { return float64(c.EndMS-c.FromMS) / hourMS }

// Run plays the case with every policy and adds the bounds.
func (c Case) Run() []Result {
	var results []Result
	for _, one := range contenders() {
		results = append(results, c.play(one))
	}
	return append(results, c.bound(BoundDemand), c.bound(BoundAhead))
}

func (c Case) play(one contender) Result {
	all := append(options(placement.WithStore(storeRate, storeSlots)), one.options...)
	played := c.Catalog
	if one.all {
		for _, model := range played.Models {
			model.MinReplicas = 1
			played = played.WithModel(model)
		}
	}
	w := newWorld(played, c.Deployment.Workers, placement.New(all...))
	w.fromMS = c.FromMS
	w.run(c.Trace, c.Replaced, c.EndMS)
	w.result.Policy = one.name
	return w.result.finish(w.colds, c.Catalog.InForce())
}
