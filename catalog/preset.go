package catalog

import (
	"errors"
	"time"
)

// Preset is a named set of policy parameters. The system uses those of the active preset.
type Preset struct {
	Name string
	// ColdStartWeight and IdleWeight are the relative costs of tail cold starts and idle hours.
	ColdStartWeight float64
	IdleWeight      float64
	// MaxKeepWarmSeconds is the maximum time that an idle replica stays loaded.
	MaxKeepWarmSeconds int `json:",omitempty"`
	// FreeShare is the fraction of memory reserved for the next cold start.
	FreeShare float64 `json:",omitempty"`
	// QueueLimit is the maximum number of queued requests per model at one entry.
	QueueLimit int `json:",omitempty"`
	// CallerRate and CallerConcurrency limit each caller's requests per second and concurrent requests.
	CallerRate        float64 `json:",omitempty"`
	CallerConcurrency int     `json:",omitempty"`
	// RefuseDrafts rejects requests of low urgency.
	RefuseDrafts bool `json:",omitempty"`
}

// KeepWarm returns the maximum time that an idle replica stays loaded.
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

func (p Preset) check(v *validation) {
	key := "Presets[" + p.Name + "]"
	v.requireName(key, p.Name)
	v.require(inRange(p.ColdStartWeight, maxWeight), key+".ColdStartWeight", p.ColdStartWeight, "0 to 1000000")
	v.require(inRange(p.IdleWeight, maxWeight), key+".IdleWeight", p.IdleWeight, "0 to 1000000")
	v.require(p.ColdStartWeight > 0 || p.IdleWeight > 0, key+".ColdStartWeight", p.ColdStartWeight,
		"more than 0 where IdleWeight is 0")
	v.require(inRange(float64(p.MaxKeepWarmSeconds), maxKeepWarmSeconds), key+".MaxKeepWarmSeconds",
		p.MaxKeepWarmSeconds, "0 to 604800")
	v.require(inRange(p.FreeShare, 1) && p.FreeShare < 1, key+".FreeShare", p.FreeShare, "from 0 to less than 1")
	v.require(inRange(float64(p.QueueLimit), maxQueueLimit), key+".QueueLimit", p.QueueLimit, "0 to 1000000")
	v.require(inRange(p.CallerRate, maxCallerRate), key+".CallerRate", p.CallerRate, "0 to 1000000")
	v.require(inRange(float64(p.CallerConcurrency), maxCallerConcurrency), key+".CallerConcurrency",
		p.CallerConcurrency, "0 to 1000000")
}

// inRange reports whether value is from 0 to limit. It is false for NaN.
func inRange(value, limit float64) bool {
	return value >= 0 && value <= limit
}

// WithActivePreset returns the catalog with the named preset active, or ErrPresetNotExist.
func (c Catalog) WithActivePreset(name string) (Catalog, error) {
	if _, known := c.preset(name); !known {
		return c, ErrPresetNotExist{Name: name, By: "Preset"}
	}
	c.Preset = name
	return c, nil
}

// WithPreset returns the catalog with a preset added or replaced.
func (c Catalog) WithPreset(preset Preset) Catalog {
	c.Presets = upsert(c.Presets, []Preset{preset}, Preset.key)
	return c.indexed()
}

// WithoutPreset returns the catalog without the named preset, or ErrPresetNotExist.
func (c Catalog) WithoutPreset(name string) (Catalog, error) {
	kept, missing := removeByName(c.Presets, []string{name}, Preset.key)
	if len(missing) > 0 {
		return c, ErrPresetNotExist{Name: name, By: byChange}
	}
	c.Presets = kept
	return c.indexed(), nil
}

func (p Preset) key() string { return p.Name }

// ErrPresetNotExist is returned if By refers to a preset that is not in the catalog.
type ErrPresetNotExist struct {
	Name string
	By   string
}

// Error implements error.
func (err ErrPresetNotExist) Error() string {
	return notExist("preset", err.Name, err.By)
}

// IsErrPresetNotExist reports whether err wraps an ErrPresetNotExist.
func IsErrPresetNotExist(err error) bool {
	var missing ErrPresetNotExist
	return errors.As(err, &missing)
}
