package catalog

import (
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
)

const (
	byChange   = "the change"
	namePolicy = "1 to 64 of letters, digits, '.', '_' and '-', the first a letter or digit"
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	badVersion  = regexp.MustCompile(`[\s/@]`)
)

// Validate checks the whole catalog; the error joins one typed error for each fault.
func (c Catalog) Validate() error {
	if c.index == nil {
		c = c.indexed()
	}
	r := &report{}
	unique(r, "Services", c.Services, Service.key)
	unique(r, "Models", c.Models, Model.key)
	unique(r, "Adapters", c.Adapters, Adapter.key)
	unique(r, "Endpoints", c.Endpoints, Endpoint.key)
	unique(r, "Presets", c.Presets, Preset.key)
	for _, one := range c.Services {
		one.check(r)
	}
	for _, one := range c.Models {
		one.check(c, r)
	}
	for _, one := range c.Adapters {
		one.check(c, r)
	}
	for _, one := range c.Endpoints {
		one.check(c, r)
	}
	for _, one := range c.Presets {
		one.check(r)
	}
	_, known := c.preset(c.Preset)
	if !known && (c.Preset != "" || len(c.Presets) > 0) {
		r.add(ErrPresetNotExist{Name: c.Preset, By: "Preset"})
	}
	return errors.Join(r.faults...)
}

// report gathers the faults of one validation.
type report struct {
	faults []error
}

func (r *report) add(fault error) {
	r.faults = append(r.faults, fault)
}

func (r *report) need(holds bool, key string, value any, allowed string) {
	if !holds {
		r.add(ErrValueInvalid{Key: key, Value: show(value), Allowed: allowed})
	}
}

func (r *report) name(key, name string) {
	r.need(namePattern.MatchString(name), key+".Name", name, namePolicy)
}

func unique[T any](r *report, list string, all []T, key func(T) string) {
	seen := make(map[string]bool, len(all))
	for _, one := range all {
		if seen[key(one)] {
			r.add(ErrNameTaken{Name: key(one), By: list})
		}
		seen[key(one)] = true
	}
}

func show(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(data)
}

func notExist(kind, name, by string) string {
	return fmt.Sprintf("%s is %q; allowed: the name of a %s that exists", by, name, kind)
}

// ErrValueInvalid says that one key holds a value that isn't allowed.
type ErrValueInvalid struct {
	Key     string
	Value   string
	Allowed string
}

// Error names the key, the value and what is allowed.
func (err ErrValueInvalid) Error() string {
	return fmt.Sprintf("%s is %s; allowed: %s", err.Key, err.Value, err.Allowed)
}

// IsErrValueInvalid reports whether err holds an ErrValueInvalid.
func IsErrValueInvalid(err error) bool {
	var invalid ErrValueInvalid
	return errors.As(err, &invalid)
}

// ErrNameTaken says that a name is used twice; models and adapters share their names.
type ErrNameTaken struct {
	Name string
	By   string
}

// Error names the name and where it is used again.
func (err ErrNameTaken) Error() string {
	return fmt.Sprintf("%s holds the name %q again; allowed: each name once, models and adapters together", err.By, err.Name)
}

// IsErrNameTaken reports whether err holds an ErrNameTaken.
func IsErrNameTaken(err error) bool {
	var taken ErrNameTaken
	return errors.As(err, &taken)
}
