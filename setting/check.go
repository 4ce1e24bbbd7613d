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

var validate = newValidator()

var hostPattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9-]{0,62})(\.[A-Za-z0-9][A-Za-z0-9-]{0,62})*$`)

func newValidator() *validator.Validate {
	c := validator.New(validator.WithRequiredStructEnabled())
	rules := map[string]func(string) bool{"address": isAddress, "member": isMember, "node": isNodeName}
	for tag, valid := range rules {
		rule := func(field validator.FieldLevel) bool { return valid(field.Field().String()) }
		if err := c.RegisterValidation(tag, rule); err != nil {
			panic(err)
		}
	}
	return c
}

// isAddress reports whether text is HOST:PORT with a host name or an IP address. An empty host stands for all addresses of
// the VM.
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

func isNodeName(text string) bool {
	return !strings.ContainsFunc(text, func(r rune) bool { return r == '=' || unicode.IsSpace(r) || unicode.IsControl(r) })
}

func isMember(text string) bool {
	name, address, found := strings.Cut(text, "=")
	return found && name != "" && isNodeName(name) && isAddress(address) && !strings.HasPrefix(address, ":")
}

// Has reports whether the process has the role.
func (s Settings) Has(role Role) bool {
	return slices.Contains(s.Roles, role)
}

// check validates the values and returns the problems, except for keys that already have a known problem.
func (s Settings) check(known []jsonc.Problem) []jsonc.Problem {
	var found []jsonc.Problem
	for _, p := range append(s.checkTags(), s.checkRules()...) {
		covered := func(other jsonc.Problem) bool { return explains(other.Key, p.Key) }
		if !slices.ContainsFunc(known, covered) && !slices.ContainsFunc(found, covered) {
			found = append(found, p)
		}
	}
	return found
}

// explains reports whether a problem with the first key already accounts for a problem with the second one.
func explains(first, second string) bool {
	return first == "the file" || first == second || strings.HasPrefix(first, second+"[") || strings.HasPrefix(second, first+".")
}

func (s Settings) checkTags() []jsonc.Problem {
	var invalid validator.ValidationErrors
	if !errors.As(validate.Struct(s), &invalid) {
		return nil
	}
	problems := make([]jsonc.Problem, 0, len(invalid))
	for _, fieldErr := range invalid {
		_, key, _ := strings.Cut(fieldErr.StructNamespace(), ".")
		problems = append(problems, jsonc.Problem{Key: key, Value: formatValue(fieldErr.Value()), Allowed: allowed(fieldErr)})
	}
	return problems
}

func formatValue(value any) string {
	switch reflected := reflect.ValueOf(value); reflected.Kind() {
	case reflect.String, reflect.Slice, reflect.Map:
		if reflected.Len() == 0 {
			return missingValue
		}
	}
	data, err := json.Marshal(value)
	if err != nil {
		return "unprintable"
	}
	return string(data)
}

func allowed(fieldErr validator.FieldError) string {
	switch fieldErr.Tag() {
	case "required":
		return "a value, since it has no default"
	case "max":
		return "at most " + fieldErr.Param() + unitOf(fieldErr.Kind())
	case "min":
		return "at least " + fieldErr.Param() + unitOf(fieldErr.Kind())
	case "gt":
		return "more than " + fieldErr.Param()
	case "oneof":
		return "one of " + strings.ReplaceAll(fieldErr.Param(), " ", ", ")
	case "node":
		return "a name without spaces, = or control characters"
	case "member":
		return "NAME=HOST:PORT"
	case "address":
		return "HOST:PORT with a port from 1 to 65535"
	case "http_url":
		return "a URL with http or https"
	case "unique":
		return "each entry once"
	default:
		return fieldErr.Tag() + " " + fieldErr.Param()
	}
}

func unitOf(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return " characters"
	case reflect.Slice:
		return " entries"
	default:
		return ""
	}
}
