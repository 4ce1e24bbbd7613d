package catalog

import (
	"errors"
	"time"
)

// Preset is a named set of policy values; the one in force steers the system.
type Preset struct {
	Name string
	// ColdStartWeight and IdleWeight weigh tail cold starts against idle hours.
	ColdStartWeight float64
	IdleWeight      float64
	// MaxKeepWarmSeconds bounds how long an idle replica stays.
	MaxKeepWarmSeconds int `json:",omitempty"`
	// FreeShare is the share of memory kept for the next cold start.
	FreeShare float64 `json:",omitempty"`
	// QueueLimit bounds the requests waiting per model at one entry.
	QueueLimit int `json:",omitempty"`
	// CallerRate is requests a second for one caller, CallerConcurrency at once.
	CallerRate        float64 `json:",omitempty"`
	CallerConcurrency int     `json:",omitempty"`
	// RefuseDrafts refuses requests of low urgency.
	RefuseDrafts bool `json:",omitempty"`
}

// KeepWarm returns how long an idle replica may stay under the preset.
func (p Preset) KeepWarm() time.Duration {
	return time.Duration(p.MaxKeepWarmSeconds) * time.Second
}

const (
	maxWeight            = 1_000_000
	maxKeepWarmSeconds   = 7 * 24 * 60 * 60
	maxQueueLimit        = 1_000_000
	maxCallerRate        = 1_000_000
	maxCallerConcurrency = 1_000_000
)

func (p Preset) check(r *report) {
	key := "Presets[" + p.Name + "]"
	r.name(key, p.Name)
	r.need(within(p.ColdStartWeight, maxWeight), key+".ColdStartWeight", p.ColdStartWeight, "0 to 1000000")
	r.need(within(p.IdleWeight, maxWeight), key+".IdleWeight", p.IdleWeight, "0 to 1000000")
	r.need(p.ColdStartWeight > 0 || p.IdleWeight > 0, key+".ColdStartWeight", p.ColdStartWeight,
		"more than 0 where IdleWeight is 0")
	r.need(within(float64(p.MaxKeepWarmSeconds), maxKeepWarmSeconds), key+".MaxKeepWarmSeconds",
		p.MaxKeepWarmSeconds, "0 to 604800")
	r.need(within(p.FreeShare, 1) && p.FreeShare < 1, key+".FreeShare", p.FreeShare, "from 0 to less than 1")
	r.need(within(float64(p.QueueLimit), maxQueueLimit), key+".QueueLimit", p.QueueLimit, "0 to 1000000")
	r.need(within(p.CallerRate, maxCallerRate), key+".CallerRate", p.CallerRate, "0 to 1000000")
	r.need(within(float64(p.CallerConcurrency), maxCallerConcurrency), key+".CallerConcurrency",
		p.CallerConcurrency, "0 to 1000000")
}

// within is false for a NaN too.
func within(value, most float64) bool {
	return value >= 0 && value <= most
}

// WithPresetInForce returns the catalog with another preset in force; the error is ErrPresetNotExist.
func (c Catalog) WithPresetInForce(name string) (Catalog, error) {
	if _, known := c.preset(name); !known {
		return c, ErrPresetNotExist{Name: name, By: "Preset"}
	}
	c.Preset = name
	return c, nil
}

// WithPreset returns the catalog with a preset put in or replaced.
func (c Catalog) WithPreset(one Preset) Catalog {
	c.Presets = put(c.Presets, []Preset{one}, Preset.key)
	return c.indexed()
}

// WithoutPreset returns the catalog without a preset; the error is ErrPresetNotExist.
func (c Catalog) WithoutPreset(name string) (Catalog, error) {
	kept, missing := without(c.Presets, []string{name}, Preset.key)
	if len(missing) > 0 {
		return c, ErrPresetNotExist{Name: name, By: byChange}
	}
	c.Presets = kept
	return c.indexed(), nil
}

func (p Preset) key() string { return p.Name }

// ErrPresetNotExist says that By refers to a preset that the catalog doesn't hold.
type ErrPresetNotExist struct {
	Name string
	By   string
}

// Error names the preset and what refers to it.
func (err ErrPresetNotExist) Error() string {
	return notExist("preset", err.Name, err.By)
}

// IsErrPresetNotExist reports whether err holds an ErrPresetNotExist.
func IsErrPresetNotExist(err error) bool {
	var missing ErrPresetNotExist
	return errors.As(err, &missing)
}
