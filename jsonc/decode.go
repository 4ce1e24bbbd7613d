package jsonc

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Problem is one error in a document: the full path of the key, the value found and the allowed values.
type Problem struct {
	Key     string
	Value   string
	Allowed string
}

// Decode decodes data into the struct that into points to and returns all problems found. Fields that data doesn't set keep
// their values.
func Decode(data []byte, into any) []Problem {
	if problem, ok := checkLimits(data); !ok {
		return []Problem{problem}
	}
	root, err := hujson.Parse(data)
	if err != nil {
		detail := strings.TrimPrefix(err.Error(), "hujson: ")
		return []Problem{{Key: "the file", Value: "malformed (" + detail + ")", Allowed: "JSON with comments and trailing commas"}}
	}
	root.Standardize()
	d := decoder{}
	d.value("", root, reflect.ValueOf(into).Elem())
	return d.problems
}

type decoder struct {
	problems []Problem
}

func (d *decoder) value(key string, from hujson.Value, to reflect.Value) {
	if to.Kind() == reflect.Pointer {
		to.Set(reflect.New(to.Type().Elem()))
		to = to.Elem()
	}
	switch composite := from.Value.(type) {
	case *hujson.Object:
		if to.Kind() == reflect.Struct {
			d.object(key, composite, to)
			return
		}
	case *hujson.Array:
		if to.Kind() == reflect.Slice {
			d.array(key, composite, to)
			return
		}
	}
	d.leaf(key, from, to)
}

func (d *decoder) object(key string, from *hujson.Object, to reflect.Value) {
	seen := make(map[string]bool, len(from.Members))
	for _, member := range from.Members {
		name := memberName(member)
		path := join(key, name)
		field, known := to.Type().FieldByName(name)
		switch {
		case !known || !field.IsExported():
			d.report(path, "unknown", "one of "+strings.Join(fieldNames(to.Type()), ", "))
		case seen[name]:
			d.report(path, "repeated", "each key once")
		default:
			d.value(path, member.Value, to.FieldByIndex(field.Index))
		}
		seen[name] = true
	}
}

func (d *decoder) array(key string, from *hujson.Array, to reflect.Value) {
	list := reflect.MakeSlice(to.Type(), len(from.Elements), len(from.Elements))
	for i, element := range from.Elements {
		d.value(key+"["+strconv.Itoa(i)+"]", element, list.Index(i))
	}
	to.Set(list)
}

func (d *decoder) leaf(key string, from hujson.Value, to reflect.Value) {
	raw := strings.TrimSpace(from.String())
	if raw == "null" || json.Unmarshal([]byte(raw), to.Addr().Interface()) != nil {
		if key == "" {
			key = "the file"
		}
		d.report(key, raw, allowedFor(to.Type()))
	}
}

func (d *decoder) report(key, value, allowed string) {
	d.problems = append(d.problems, Problem{Key: key, Value: value, Allowed: allowed})
}

func memberName(member hujson.ObjectMember) string {
	literal, ok := member.Name.Value.(hujson.Literal)
	if !ok {
		return member.Name.String()
	}
	return literal.String()
}

func fieldNames(of reflect.Type) []string {
	var names []string
	for _, field := range reflect.VisibleFields(of) {
		if field.IsExported() {
			names = append(names, field.Name)
		}
	}
	return names
}

func join(key, name string) string {
	if key == "" {
		return name
	}
	return key + "." + name
}

func allowedFor(of reflect.Type) string {
	switch of.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Uint64:
		return "a whole number from 0 up"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list"
	case reflect.Map:
		return "an object of strings"
	default:
		return "an object"
	}
}
