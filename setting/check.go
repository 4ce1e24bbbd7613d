package setting

import (
	"encoding/json"
	"errors"
	"reflect"
	"slices"
	"strings"

	"burdocksaddle/jsonc"

	"github.com/go-playground/validator/v10"
)

var checker = validator.New(validator.WithRequiredStructEnabled())

// Has reports whether the process plays a role.
func (s Settings) Has(role Role) bool {
	return slices.Contains(s.Roles, role)
}

// check returns the faults of values, leaving out keys that already have one.
func (s Settings) check(known []jsonc.Problem) []jsonc.Problem {
	var found []jsonc.Problem
	for _, p := range append(s.checkTags(), s.checkRules()...) {
		same := func(other jsonc.Problem) bool { return covers(other.Key, p.Key) }
		if !slices.ContainsFunc(known, same) && !slices.ContainsFunc(found, same) {
			found = append(found, p)
		}
	}
	return found
}

// covers reports whether a fault of key one explains a fault of key two.
func covers(one, two string) bool {
	return one == "the file" || one == two || strings.HasPrefix(one, two+"[") || strings.HasPrefix(two, one+".")
}

func (s Settings) checkTags() []jsonc.Problem {
	var invalid validator.ValidationErrors
	if !errors.As(checker.Struct(s), &invalid) {
		return nil
	}
	problems := make([]jsonc.Problem, 0, len(invalid))
	for _, fault := range invalid {
		_, key, _ := strings.Cut(fault.StructNamespace(), ".")
		problems = append(problems, jsonc.Problem{Key: key, Value: show(fault.Value()), Allowed: allowed(fault)})
	}
	return problems
}

func show(value any) string {
	switch held := reflect.ValueOf(value); held.Kind() {
	case reflect.String, reflect.Slice, reflect.Map:
		if held.Len() == 0 {
			return missing
		}
	}
	data, err := json.Marshal(value)
	if err != nil {
		return "unprintable"
	}
	return string(data)
}

func allowed(fault validator.FieldError) string {
	switch fault.Tag() {
	case "required":
		return "a value, since it has no default"
	case "max":
		return "at most " + fault.Param() + unit(fault.Kind())
	case "min":
		return "at least " + fault.Param() + unit(fault.Kind())
	case "gt":
		return "more than " + fault.Param()
	case "oneof":
		return "one of " + strings.ReplaceAll(fault.Param(), " ", ", ")
	case "hostname_port":
		return "HOST:PORT with a port from 1 to 65535"
	case "http_url":
		return "a URL with http or https"
	case "unique":
		return "each entry once"
	default:
		return fault.Tag() + " " + fault.Param()
	}
}

func unit(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return " characters"
	case reflect.Slice:
		return " entries"
	default:
		return ""
	}
}
