package setting

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"burdocksaddle/jsonc"

	"github.com/google/go-cmp/cmp"
)

const example = "../docs/examples/burdocksaddle.json"

func TestExampleMatchesDefaults(t *testing.T) {
	got, err := Load(example)
	if err != nil {
		t.Fatal(err)
	}
	want := Defaults()
	want.Node, want.DataCentre = "node-1", "dc-1"
	want.Roles = []Role{RoleEntry, RoleAgent, RoleControl}
	want.Listen, want.Advertise = "127.0.0.1:7300", "127.0.0.1:7300"
	want.Controls = []string{"127.0.0.1:7300"}
	want.Entry.CallerListen = "127.0.0.1:8080"
	want.Entry.CallerKeys = map[string]string{}
	want.Agent.Endpoint, want.Agent.Service = "endpoint-1", "assist"
	want.Agent.EndpointURL, want.Agent.Kind = "http://127.0.0.1:9000", "Model"
	want.Agent.MemoryMB = 80000
	want.Control.Bootstrap = []string{"node-1=127.0.0.1:7300"}
	want.Operator.Listen = "127.0.0.1:7400"
	want.Operator.TokenFiles = map[string]string{}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestExampleSetsEveryKey(t *testing.T) {
	data, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	got := newPointerProbe(reflect.TypeFor[Settings]())
	jsonc.Decode(data, got)
	for _, key := range unsetKeys(reflect.ValueOf(got).Elem(), "") {
		t.Errorf("the example doesn't set %s", key)
	}
}

// newPointerProbe returns a pointer to a variant of the struct type in which every leaf field is a pointer, so that a key
// that a document doesn't set stays nil.
func newPointerProbe(of reflect.Type) any {
	return reflect.New(pointerType(of)).Interface()
}

func pointerType(of reflect.Type) reflect.Type {
	fields := make([]reflect.StructField, 0, of.NumField())
	for i := range of.NumField() {
		field := of.Field(i)
		if field.Type.Kind() == reflect.Struct {
			field.Type = pointerType(field.Type)
		} else {
			field.Type = reflect.PointerTo(field.Type)
		}
		fields = append(fields, reflect.StructField{Name: field.Name, Type: field.Type})
	}
	return reflect.StructOf(fields)
}

func unsetKeys(of reflect.Value, path string) []string {
	var keys []string
	for i := range of.NumField() {
		name := path + of.Type().Field(i).Name
		switch field := of.Field(i); {
		case field.Kind() == reflect.Struct:
			keys = append(keys, unsetKeys(field, name+".")...)
		case field.IsNil():
			keys = append(keys, name)
		}
	}
	return keys
}

const validPrefix = `{"Node": "n", "DataCentre": "d", "Roles": ["Control"], "Listen": "127.0.0.1:1", "Controls": ["127.0.0.1:1"],
	"Control": {"Bootstrap": ["n=127.0.0.1:1"]}, `

func TestParseRejectsInvalid(t *testing.T) {
	tests := []struct{ name, data, want string }{
		{"syntax", `{"Node" "n"}`, `f: the file is malformed (line 1, column 9: invalid character '"' after object name); allowed: JSON with comments and trailing commas`},
		{"lower case", validPrefix + `"node": "n"}`, `f: node is unknown; allowed: one of Node, Region, DataCentre, Roles, Listen, Advertise, Controls, Entry, Agent, Control, Operator, TLS, Log, Lease, Limits`},
		{"repeated", validPrefix + `"Log": {"Verbosity": 1, "Verbosity": 2}}`, `f: Log.Verbosity is repeated; allowed: each key once`},
		{"type", validPrefix + `"Entry": {"MaxBodyBytes": "big"}}`, `f: Entry.MaxBodyBytes is "big"; allowed: a whole number`},
		{"null", validPrefix + `"Entry": {"ServeStale": null}}`, `f: Entry.ServeStale is null; allowed: true or false`},
		{"too large", validPrefix + `"Entry": {"MaxBodyBytes": 67108865}}`, `f: Entry.MaxBodyBytes is 67108865; allowed: at most 67108864`},
		{"two problems", validPrefix + `"Entry": {"MaxBodyBytes": 0}, "Lease": {"LengthMS": 1}}`, "f: Entry.MaxBodyBytes is 0; allowed: at least 1\nf: Lease.LengthMS is 1; allowed: at least 100"},
		{"role", strings.Replace(validPrefix, `"Control"]`, `"Control", "Queen"]`, 1) + `}`, `f: Roles[1] is "Queen"; allowed: one of Entry, Agent, Control`},
		{"missing node", strings.Replace(validPrefix, `"Node": "n", `, ``, 1) + `}`, `f: Node is missing or empty; allowed: a value, since it has no default`},
		{"plaintext listen", strings.Replace(validPrefix, `"Listen": "127.0.0.1:1"`, `"Listen": "10.0.0.1:1"`, 1) + `}`, `f: Listen is "10.0.0.1:1"; allowed: a loopback address, or TLS.CAFile, TLS.CertFile and TLS.KeyFile, or TLS.AllowPlaintext true`},
		{"plaintext controls", strings.Replace(validPrefix, `"Controls": ["127.0.0.1:1"]`, `"Controls": ["10.0.0.1:1"]`, 1) + `}`, `f: Controls is ["10.0.0.1:1"]; allowed: loopback addresses, or TLS.CAFile, TLS.CertFile and TLS.KeyFile, or TLS.AllowPlaintext true`},
		{"incomplete TLS", validPrefix + `"TLS": {"CAFile": "a", "CertFile": "b"}}`, `f: TLS.KeyFile is missing or empty; allowed: a file, since CAFile, CertFile and KeyFile go together`},
		{"operator without token", validPrefix + `"Operator": {"Listen": "10.0.0.1:1"}}`, `f: Operator.Listen is "10.0.0.1:1"; allowed: a loopback address, or at least one operator in Operator.TokenFiles`},
		{"entry", strings.Replace(validPrefix, `"Control"]`, `"Control", "Entry"]`, 1) + `}`, `f: Entry.CallerListen is missing or empty; allowed: HOST:PORT, since the role Entry serves callers`},
		{"agent", strings.Replace(validPrefix, `"Control"]`, `"Control", "Agent"]`, 1) + `"Agent": {"Endpoint": "e", "Service": "s", "Kind": "Model", "MemoryMB": 1}}`, `f: Agent.EndpointURL is missing or empty; allowed: a URL with http or https`},
		{"bootstrap", strings.Replace(validPrefix, `n=127`, `127`, 1) + `}`, `f: Control.Bootstrap[0] is "127.0.0.1:1"; allowed: NAME=HOST:PORT`},
		{"bootstrap name twice", strings.Replace(validPrefix, `["n=127.0.0.1:1"]`, `["n=127.0.0.1:1", "n=127.0.0.1:2"]`, 1) + `}`, `f: Control.Bootstrap is "n=127.0.0.1:2"; allowed: each name once`},
		{"node", strings.Replace(validPrefix, `"Node": "n"`, `"Node": "n=1"`, 1) + `}`, `f: Node is "n=1"; allowed: a name without spaces, = or control characters`},
		{"token file", validPrefix + `"Operator": {"TokenFiles": {"ann": ""}}}`, `f: Operator.TokenFiles[ann] is missing or empty; allowed: a value, since it has no default`},
		{"address", validPrefix + `"Advertise": "127.0.0.1:0"}`, `f: Advertise is "127.0.0.1:0"; allowed: HOST:PORT with a port from 1 to 65535`},
		{"deadlines", strings.Replace(validPrefix, `"Control"]`, `"Control", "Entry"]`, 1) + `"Entry": {"DefaultDeadlineMS": 3, "MaxDeadlineMS": 2, "CallerListen": "127.0.0.1:2"}}`, `f: Entry.DefaultDeadlineMS is 3; allowed: at most Entry.MaxDeadlineMS, 2`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse("f", []byte(test.data))
			if !IsErrSettingInvalid(err) {
				t.Fatalf("got %v", err)
			}
			if diff := cmp.Diff(test.want, err.Error()); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestIsAddress(t *testing.T) {
	tests := map[string]bool{
		"127.0.0.1:1": true, "[::1]:65535": true, "vm-1.example:80": true, "localhost:80": true, ":80": true,
		"": false, "127.0.0.1": false, "127.0.0.1:65536": false, "127.0.0.1:x": false, "::1:80": false, "-a:80": false, "a b:80": false,
	}
	for text, want := range tests {
		if got := isAddress(text); got != want {
			t.Errorf("%q is an address: %v", text, got)
		}
	}
}

func TestLoadMissingFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "none.json")
	_, err := Load(path)
	if !jsonc.IsErrFileUnreadable(err) {
		t.Fatalf("got %v", err)
	}
	if diff := cmp.Diff(path+": cannot be read: no such file or directory", err.Error()); diff != "" {
		t.Error(diff)
	}
}

func TestPrintRoundTrips(t *testing.T) {
	want, err := Parse("f", []byte(validPrefix+"}"))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := want.Print(&out); err != nil {
		t.Fatal(err)
	}
	got, err := Parse("printed", []byte(out.String()))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}
