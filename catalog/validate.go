package catalog

import (
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strings"
)

const (
	byChange      = "the change"
	maxNameLength = 64
	namePolicy    = "1 to 64 of letters, digits, '.', '_' and '-', the first a letter or digit"
)

var badVersion = regexp.MustCompile(`[\s/@]`)

// Validate checks the whole catalog; the error joins one typed error for each fault.
func (c Catalog) Validate() error {
	c = c.indexed()
	r := &report{}
	unique(r, "Services", c.index.services, Service.key)
	unique(r, "Models", c.index.models, Model.key)
	unique(r, "Adapters", c.index.adapters, Adapter.key)
	unique(r, "Endpoints", c.index.endpoints, Endpoint.key)
	unique(r, "Presets", c.index.presets, Preset.key)
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
	r.need(validName(name), key+".Name", name, namePolicy)
}

func unique[T any](r *report, name string, l list[T], key func(T) string) {
	if len(l.at) == len(l.all) {
		return
	}
	for i, one := range l.all {
		if l.at[key(one)] != i {
			r.add(ErrNameTaken{Name: key(one), By: name})
		}
	}
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameLength || strings.ContainsRune("._-", rune(name[0])) {
		return false
	}
	for i := range len(name) {
		if !validByte(name[i]) {
			return false
		}
	}
	return true
}

func validByte(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || b == '.' || b == '_' || b == '-'
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
