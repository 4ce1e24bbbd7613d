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

var invalidVersionChars = regexp.MustCompile(`[\s/@]`)

// Validate checks the complete catalog. The error joins one typed error per problem found.
func (c Catalog) Validate() error {
	c = c.indexed()
	v := &validation{}
	requireUnique(v, "Services", c.index.services, Service.key)
	requireUnique(v, "Models", c.index.models, Model.key)
	requireUnique(v, "Adapters", c.index.adapters, Adapter.key)
	requireUnique(v, "Endpoints", c.index.endpoints, Endpoint.key)
	requireUnique(v, "Presets", c.index.presets, Preset.key)
	for _, item := range c.Services {
		item.check(v)
	}
	for _, item := range c.Models {
		item.check(c, v)
	}
	for _, item := range c.Adapters {
		item.check(c, v)
	}
	for _, item := range c.Endpoints {
		item.check(c, v)
	}
	for _, item := range c.Presets {
		item.check(v)
	}
	_, known := c.preset(c.Preset)
	if !known && (c.Preset != "" || len(c.Presets) > 0) {
		v.addError(ErrPresetNotExist{Name: c.Preset, By: "Preset"})
	}
	return errors.Join(v.errs...)
}

// validation collects the errors of one Validate call.
type validation struct {
	errs []error
}

func (v *validation) addError(err error) {
	v.errs = append(v.errs, err)
}

func (v *validation) require(ok bool, key string, value any, allowed string) {
	if !ok {
		v.addError(ErrValueInvalid{Key: key, Value: formatJSON(value), Allowed: allowed})
	}
}

func (v *validation) requireName(key, name string) {
	v.require(validName(name), key+".Name", name, namePolicy)
}

func requireUnique[T any](v *validation, listName string, list sortedList[T], key func(T) string) {
	if len(list.positions) == len(list.items) {
		return
	}
	for i, item := range list.items {
		if list.positions[key(item)] != i {
			v.addError(ErrNameTaken{Name: key(item), By: listName})
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

func formatJSON(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Sprint(value)
	}
	return string(data)
}

func notExist(kind, name, by string) string {
	return fmt.Sprintf("%s is %q; allowed: the name of a %s that exists", by, name, kind)
}

// ErrValueInvalid is returned if a key has a value that is not allowed.
type ErrValueInvalid struct {
	Key     string
	Value   string
	Allowed string
}

// Error implements error.
func (err ErrValueInvalid) Error() string {
	return fmt.Sprintf("%s is %s; allowed: %s", err.Key, err.Value, err.Allowed)
}

// IsErrValueInvalid reports whether err wraps an ErrValueInvalid.
func IsErrValueInvalid(err error) bool {
	var invalid ErrValueInvalid
	return errors.As(err, &invalid)
}

// ErrNameTaken is returned for a duplicate name. Models and adapters share one namespace.
type ErrNameTaken struct {
	Name string
	By   string
}

// Error implements error.
func (err ErrNameTaken) Error() string {
	return fmt.Sprintf("%s holds the name %q again; allowed: each name once, models and adapters together", err.By, err.Name)
}

// IsErrNameTaken reports whether err wraps an ErrNameTaken.
func IsErrNameTaken(err error) bool {
	var taken ErrNameTaken
	return errors.As(err, &taken)
}
