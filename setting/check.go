package setting

import (
	"encoding/json"
	"errors"
	"net"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"burdocksaddle/jsonc"

	"github.com/go-playground/validator/v10"
)

var checker = newChecker()

var hostPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9-]{0,62})(\.[A-Za-z0-9][A-Za-z0-9-]{0,62})*$`)

func newChecker() *validator.Validate {
	c := validator.New(validator.WithRequiredStructEnabled())
	rules := map[string]func(string) bool{"address": isAddress, "member": isMember, "node": isNode}
	for tag, holds := range rules {
		rule := func(field validator.FieldLevel) bool { return holds(field.Field().String()) }
		if err := c.RegisterValidation(tag, rule); err != nil {
			panic(err)
		}
	}
	return c
}

// isAddress holds for HOST:PORT with a name or an IP number; an empty host is every address of the VM.
func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return false
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil || number == 0 {
		return false
	}
	return host == "" || net.ParseIP(host) != nil || hostPattern.MatchString(host)
}

func isNode(text string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool { return r == '=' || unicode.IsSpace(r) || unicode.IsControl(r) })
}

func isMember(text string) bool {
	name, address, found := strings.Cut(text, "=")
	return found && name != "" && isNode(name) && isAddress(address) && !strings.HasPrefix(address, ":")
}

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
	case "node":
		return "a name without space, = and control characters"
	case "member":
		return "NAME=HOST:PORT"
	case "address":
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
