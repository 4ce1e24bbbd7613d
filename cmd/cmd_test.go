package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"burdocksaddle/catalog"
	"burdocksaddle/operatorapi"

	"github.com/google/go-cmp/cmp"
	"github.com/urfave/cli/v3"
)

// result is the exit code and output of one run of the program.
type result struct {
	Code   int
	Stdout string
	Stderr string
}

func run(args ...string) result {
	var stdout, stderr bytes.Buffer
	code := Main(context.Background(), append([]string{programName}, args...), &stdout, &stderr)
	return result{Code: code, Stdout: stdout.String(), Stderr: stderr.String()}
}

func TestBadInput(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(bad, []byte(`{"Preset": "x"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		args string
		want result
	}{
		{"nope", result{Code: exitUsage, Stderr: "burdocksaddle has no command \"nope\"; see burdocksaddle --help\n"}},
		{"settings nope", result{Code: exitUsage, Stderr: "burdocksaddle settings has no command \"nope\"; see burdocksaddle settings --help\n"}},
		{"settings check", result{Code: exitUsage, Stderr: "burdocksaddle settings check takes one FILE; see burdocksaddle settings check --help\n"}},
		{"settings check none.json", result{Code: exitFailure, Stderr: "none.json: cannot be read: no such file or directory\n"}},
		{"catalog check " + bad, result{Code: exitFailure, Stderr: bad + ": Preset is \"x\"; allowed: the name of a preset that exists\n"}},
		{"ctl members --bad", result{Code: exitUsage, Stderr: "burdocksaddle ctl members cannot parse its arguments: flag provided but not defined: -bad; see burdocksaddle ctl members --help\n"}},
		{"ctl wait x", result{Code: exitUsage, Stderr: "burdocksaddle ctl wait takes a whole number as VERSION, not \"x\"; see burdocksaddle ctl wait --help\n"}},
		{"ctl apply", result{Code: exitUsage, Stderr: "burdocksaddle ctl apply needs -f FILE; see burdocksaddle ctl apply --help\n"}},
		{"ctl --address :: members", result{Code: exitFailure, Stderr: "--address is \"::\"; allowed: a URL such as http://127.0.0.1:7400\n"}},
		{"ctl apply -f " + bad, result{Code: exitFailure, Stderr: "--address is \"::\"; allowed: a URL such as http://127.0.0.1:7400\n"}},
	}
	t.Setenv("BURDOCKSADDLE_OPERATOR", "::")
	for _, test := range tests {
		t.Run(test.args, func(t *testing.T) {
			if diff := cmp.Diff(test.want, run(strings.Fields(test.args)...)); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestHelpOfEveryCommand(t *testing.T) {
	var walk func(c *cli.Command, path []string)
	walk = func(c *cli.Command, path []string) {
		got := run(append(path, "--help")...)
		if got.Code != exitOK || !strings.Contains(got.Stdout, c.Usage) || c.Usage == "" || got.Stderr != "" {
			t.Errorf("%v: %+v", path, got)
		}
		for _, subcommand := range c.Commands {
			walk(subcommand, append(path[:len(path):len(path)], subcommand.Name))
		}
	}
	walk(New(), nil)
}

// fakeControl is an operator API with one catalog that remembers the resulting version of each operation ID.
type fakeControl struct {
	t        *testing.T
	mu       sync.Mutex
	current  catalog.Catalog
	versions map[string]uint64
	// dropResponses is how many responses to changes are dropped, busy how many requests are first rejected with 503.
	dropResponses, busy int
	requests            []string
}

func newFakeControl(t *testing.T) *fakeControl {
	initial := catalog.Catalog{
		Version: 4,
		Presets: []catalog.Preset{{Name: "Ordinary", IdleWeight: 1}, {Name: "Peak", IdleWeight: 1}},
		Preset:  "Ordinary",
	}
	o := &fakeControl{t: t, current: initial, versions: map[string]uint64{}}
	server := httptest.NewServer(o)
	t.Cleanup(server.Close)
	t.Setenv("BURDOCKSADDLE_OPERATOR", server.URL)
	return o
}

func (o *fakeControl) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests = append(o.requests, r.Method+" "+r.URL.Path+" "+r.Header.Get(operatorapi.HeaderIfMatch)+r.Header.Get("Authorization"))
	if o.busy > 0 {
		o.busy--
		o.problem(w, operatorapi.Problem{Title: "No quorum", Status: http.StatusServiceUnavailable})
		return
	}
	switch r.URL.Path {
	case operatorapi.PathCatalog:
		w.Header().Set("ETag", o.etag())
		_ = json.NewEncoder(w).Encode(o.current)
	case operatorapi.PathPreset, operatorapi.PathChanges:
		o.change(w, r)
	case operatorapi.PathWait:
		_ = json.NewEncoder(w).Encode(operatorapi.InForce{Version: o.current.Version, InForce: r.URL.Query().Get("version") == "4", Waiting: []string{"e1", "e2"}})
	default:
		http.NotFound(w, r)
	}
}

func (o *fakeControl) etag() string {
	version, _ := json.Marshal(o.current.Version)
	return `"` + string(version) + `"`
}

func (o *fakeControl) change(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(operatorapi.HeaderOperationID)
	version, answered := o.versions[id]
	if !answered {
		if r.Header.Get(operatorapi.HeaderIfMatch) != o.etag() {
			o.problem(w, operatorapi.Problem{Title: "Conflict", Status: http.StatusPreconditionFailed, CurrentVersion: o.current.Version, Code: "VersionConflict"})
			return
		}
		var change catalog.Change
		body, _ := io.ReadAll(r.Body)
		if err := json.Unmarshal(body, &change); err != nil {
			o.t.Error(err)
		}
		next, err := change.Apply(o.current)
		if err != nil {
			o.problem(w, operatorapi.Problem{Title: "Invalid", Status: http.StatusUnprocessableEntity, Detail: err.Error()})
			return
		}
		o.current, version = next, next.Version
		o.versions[id] = version
	}
	if o.dropResponses > 0 {
		o.dropResponses--
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(operatorapi.Accepted{Version: version})
}

func (o *fakeControl) problem(w http.ResponseWriter, p operatorapi.Problem) {
	w.Header().Set("Content-Type", operatorapi.ContentTypeProblem)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func TestCtl(t *testing.T) {
	change := filepath.Join(t.TempDir(), "change.json")
	if err := os.WriteFile(change, []byte(`{"Put": {"Services": [{"Name": "desk", "Kind": "Plain"}]}, /* new */ "Preset": "Peak"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte("secret\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name          string
		dropResponses int
		busy          int
		args          string
		want          result
		version       uint64
		requests      []string
	}{
		{name: "apply on the current version", args: "ctl apply -f " + change, want: result{Stdout: "accepted as version 5\n"}, version: 5,
			requests: []string{"GET /operator/v1/catalog ", `POST /operator/v1/changes "4"`}},
		{name: "lost responses apply one change", dropResponses: 2, args: "ctl preset Peak --base 4", want: result{Stdout: "accepted as version 5\n"}, version: 5,
			requests: []string{`POST /operator/v1/preset "4"`, `POST /operator/v1/preset "4"`, `POST /operator/v1/preset "4"`}},
		{name: "busy control", busy: 1, args: "ctl preset Peak --base 4", want: result{Stdout: "accepted as version 5\n"}, version: 5,
			requests: []string{`POST /operator/v1/preset "4"`, `POST /operator/v1/preset "4"`}},
		{name: "no quorum", busy: 1 << 30, args: "ctl --timeout 1ns preset Peak --base 4 --operation-id op-1", version: 4, requests: []string{`POST /operator/v1/preset "4"`},
			want: result{Code: exitFailure, Stderr: "refused with 503 No quorum; send the change again with --operation-id op-1\n"}},
		{name: "conflict", args: "ctl preset Peak --base 3", version: 4, requests: []string{`POST /operator/v1/preset "3"`},
			want: result{Code: exitFailure, Stderr: "conflict: the catalog is at version 4, not at the version that the change is based on; look at the current one with ctl get and apply the change again [VersionConflict]\n"}},
		{name: "refused", args: "ctl preset None --base 4", version: 4, requests: []string{`POST /operator/v1/preset "4"`},
			want: result{Code: exitFailure, Stderr: "refused with 422 Invalid: Preset is \"None\"; allowed: the name of a preset that exists\n"}},
		{name: "token", args: "ctl --token-file " + token + " get preset", want: result{Stdout: "\"Ordinary\"\n"}, version: 4,
			requests: []string{"GET /operator/v1/catalog Bearer secret"}},
		{name: "in force", args: "ctl wait 4", want: result{Stdout: "version 4 is in force\n"}, version: 4,
			requests: []string{"GET /operator/v1/wait "}},
		{name: "not in force", args: "ctl --timeout 1ns wait 5", version: 4, requests: []string{"GET /operator/v1/wait "},
			want: result{Code: exitFailure, Stderr: "version 5 is not in force yet; waiting for e1, e2\n"}},
		{name: "unknown part", args: "ctl get hats", version: 4, requests: []string{"GET /operator/v1/catalog "},
			want: result{Code: exitUsage, Stderr: "burdocksaddle ctl get has no part \"hats\"; see burdocksaddle ctl get --help\n"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := newFakeControl(t)
			o.dropResponses, o.busy = test.dropResponses, test.busy
			if diff := cmp.Diff(test.want, run(strings.Fields(test.args)...)); diff != "" {
				t.Error(diff)
			}
			if diff := cmp.Diff(test.requests, o.requests); diff != "" {
				t.Error(diff)
			}
			if o.current.Version != test.version {
				t.Errorf("version %d, want %d", o.current.Version, test.version)
			}
		})
	}
}

func TestCtlReportsUnknownOutcome(t *testing.T) {
	o := newFakeControl(t)
	o.dropResponses = 1 << 30
	got := run("ctl", "--timeout", "1ms", "preset", "Peak", "--base", "4", "--operation-id", "op-1")
	if got.Code != exitFailure || !strings.Contains(got.Stderr, "may or may not be accepted; send it again with --operation-id op-1") {
		t.Errorf("%+v", got)
	}
	if strings.Count(got.Stderr, "\n") != 1 {
		t.Errorf("want one line, got %q", got.Stderr)
	}
}
