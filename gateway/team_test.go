package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"

	"burdocksaddle/quarantine"
	"burdocksaddle/route"
	"burdocksaddle/team"
	"burdocksaddle/uplink"
	"burdocksaddle/wirepb"
)

// newTeamTable returns the test table with teams, whose keys are "key-" and their names, and a public route for plain requests.
func newTeamTable(t *testing.T, version uint64, names ...string) *route.Table {
	t.Helper()
	var definitions []team.Definition
	for _, name := range names {
		definition := team.Definition{Team: team.Team{Name: name}, APIKeys: []string{"key-" + name}}
		if name == "urgent" || name == "patient" {
			definition.HasUrgency, definition.Urgency = true, map[string]int{"urgent": 0, "patient": 12}[name]
		}
		definitions = append(definitions, definition)
	}
	teams, err := team.NewDirectory(definitions)
	if err != nil {
		t.Fatal(err)
	}
	base := newTestTable(t)
	public := base.Routes[2]
	public.Name, public.Prefix, public.Public = "public", "/public/", true
	table, err := route.New(version, append(base.Routes, public), base.Services, base.Limits, route.WithTeams(teams))
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// newTeamGateway returns a gateway whose table has teams; all requests are answered.
func newTeamGateway(t *testing.T, names ...string) *testGateway {
	t.Helper()
	b := newTestGateway(t, func(_ context.Context, call Call) (*Response, error) {
		if call.Stream {
			return streamResponse(3, io.EOF), nil
		}
		return bufferedResponse(http.StatusOK), nil
	}, plainEndpoint("d1"), engineEndpoint("w1", testModel))
	b.table.Store(newTeamTable(t, 1, names...))
	return b
}

// ask sends a request with a key for a route.
func (b *testGateway) ask(ctx context.Context, path, key string) clientResult {
	model := ""
	if strings.HasPrefix(path, "/live/") {
		model = testModel
	}
	return b.do(ctx, path, model, Request{ID: "r1", ClientTimeout: time.Second, APIKey: key})
}

// TestOnlyNewestTableDeniesKeys guards against a 401, after which clients don't come back, for a key that an announced table adds, and
// against requests without a key that reach an endpoint.
func TestOnlyNewestTableDeniesKeys(t *testing.T) {
	denied := clientResult{Status: http.StatusUnauthorized, Refused: true}
	answered := clientResult{Status: http.StatusOK}
	tests := map[string]struct {
		path, key string
		// announced is the version that a steward announced, arrivesAfter when its table, which adds the team shops, arrives, 0 for never.
		announced    uint64
		arrivesAfter time.Duration
		want         clientResult
		// team is what the endpoint is told, if the request reaches it.
		team string
	}{
		"known key":                       {"/read/x", "key-press", 1, 0, answered, "press"},
		"no key":                          {"/read/x", "", 1, 0, denied, ""},
		"unknown key":                     {"/read/x", "key-shops", 1, 0, denied, ""},
		"name instead of a key":           {"/read/x", "press", 1, 0, denied, ""},
		"two keys":                        {"/read/x", "key-press,key-press", 1, 0, denied, ""},
		"public route without a key":      {"/public/x", "", 1, 0, answered, ""},
		"public route with a known key":   {"/public/x", "key-press", 1, 0, answered, "press"},
		"public route with another key":   {"/public/x", "key-shops", 1, 0, answered, ""},
		"public route, newer table":       {"/public/x", "", 2, 0, answered, ""},
		"no route":                        {"/none/x", "key-press", 1, 0, clientResult{Status: http.StatusNotFound, Refused: true}, ""},
		"known key, newer table":          {"/read/x", "key-press", 2, 0, answered, "press"},
		"key of a newer table":            {"/read/x", "key-shops", 2, 200 * time.Millisecond, clientResult{Status: http.StatusOK, Took: 200 * time.Millisecond}, "shops"},
		"unknown key, newer table":        {"/read/x", "key-none", 2, 200 * time.Millisecond, clientResult{Status: http.StatusUnauthorized, Refused: true, Took: 200 * time.Millisecond}, ""},
		"no key, newer table":             {"/read/x", "", 2, 200 * time.Millisecond, clientResult{Status: http.StatusUnauthorized, Refused: true, Took: 200 * time.Millisecond}, ""},
		"key of a table that never comes": {"/read/x", "key-shops", 2, 0, clientResult{Status: http.StatusServiceUnavailable, Refused: true, After: defaultRetryAfter, Took: 400 * time.Millisecond}, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTeamGateway(t, "press")
				b.decodeTable = func([]byte) (*route.Table, error) { return newTeamTable(t, 2, "press", "shops"), nil }
				b.applySnapshot("steward", &wirepb.Snapshot{Version: test.announced})
				if test.arrivesAfter > 0 {
					time.AfterFunc(test.arrivesAfter, func() {
						if err := b.applyTable(uplink.Table{Version: 2}); err != nil {
							t.Error(err)
						}
					})
				}
				got := b.ask(t.Context(), test.path, test.key)
				if diff := cmp.Diff(test.want, got); diff != "" {
					t.Errorf("client's view (-want +got):\n%s", diff)
				}
				if reached := len(b.calls) > 0; reached != (test.want.Status == http.StatusOK) {
					t.Fatalf("%d calls", len(b.calls))
				} else if reached && (b.calls[0].Team != test.team || !b.calls[0].HasTeams) {
					t.Errorf("team %q, %t", b.calls[0].Team, b.calls[0].HasTeams)
				}
			})
		})
	}
}

// TestTablesWithoutTeamsIgnoreKeys guards against changes for deployments without teams.
func TestTablesWithoutTeamsIgnoreKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTeamGateway(t)
		b.table.Store(newTestTable(t))
		log := captureLog(t, func(log logr.Logger) {
			b.log = log
			b.ask(t.Context(), "/live/x", "key-press")
		})
		if len(b.calls) != 1 || b.calls[0].Team != "" || b.calls[0].HasTeams || b.calls[0].Request.Key != testKey || strings.Contains(log, "team") {
			t.Errorf("%+v\n%s", b.calls, log)
		}
		if _, known := b.resumption.starts.Find(xxhash.Sum64String("r1"), time.Now()); !known {
			t.Error("the start of the stream is recorded under another ID")
		}
	})
}

// TestUrgencyOfTeams guards against requests that are sent with their route's urgency although their team has one.
func TestUrgencyOfTeams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTeamGateway(t, "press", "urgent", "patient")
		for _, key := range []string{"key-press", "key-urgent", "key-patient", ""} {
			b.ask(t.Context(), "/public/x", key)
		}
		var got []int
		for _, call := range b.calls {
			got = append(got, call.Urgency)
		}
		if diff := cmp.Diff([]int{2, 0, lowestUrgency, 2}, got); diff != "" {
			t.Error(diff)
		}
	})
}

// TestTeamsAreDifferentCallers guards against a team whose requests are refused because another team's same request crashes endpoints.
func TestTeamsAreDifferentCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTeamGateway(t, "press", "shops")
		var keys []uint64
		for _, key := range []string{"key-press", "key-shops", "", "key-press"} {
			b.ask(t.Context(), "/public/x", key)
			keys = append(keys, b.calls[len(b.calls)-1].Request.Key)
		}
		if keys[0] != keys[3] || len(slices.Compact(slices.Sorted(slices.Values(keys)))) != 3 || keys[2] != testKey {
			t.Errorf("keys of press, shops, no team and press: %v", keys)
		}
		b.applySnapshot("steward", &wirepb.Snapshot{Leads: true, Proven: true, Quarantine: quarantine.Table{}.WithBlamedRequest(keys[0]).ToWire()})
		got := map[string]int{}
		for _, key := range []string{"key-press", "key-shops", ""} {
			got[key] = b.ask(t.Context(), "/public/x", key).Status
		}
		if diff := cmp.Diff(map[string]int{"key-press": 503, "key-shops": 200, "": 200}, got); diff != "" {
			t.Error(diff)
		}
	})
}

// TestOnlyItsTeamResumesStream guards against streams that go on for another team, and against a team's streams that its own members can't
// take up.
func TestOnlyItsTeamResumesStream(t *testing.T) {
	tests := map[string]struct {
		startedBy, resumedBy string
		want                 int
	}{
		"own team":                 {"press", "press", 200},
		"other team":               {"press", "shops", 503},
		"stream without a team":    {"", "shops", 200}, // begun before the table had teams
		"started at other gateway": {"none", "shops", 200},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTeamGateway(t, "press", "shops")
				// A steward with a quorum names the only version, so that streams with an unknown start go on there.
				b.askOrigin = func(context.Context, string, *wirepb.OriginQuery) (*wirepb.OriginReply, error) {
					return &wirepb.OriginReply{Versions: []string{""}, Proven: true}, nil
				}
				b.SetStewards([]string{"s1"})
				b.setEndpoints(engineEndpoint("w1", testModel))
				if test.startedBy == "" {
					b.table.Store(newTestTable(t))
				}
				if test.startedBy != "none" {
					b.ask(t.Context(), "/live/x", "key-"+test.startedBy)
				}
				b.table.Store(newTeamTable(t, 1, "press", "shops"))
				got := b.do(t.Context(), "/live/x", testModel, Request{ID: "r2", Resumes: "r1", LastEvent: "1", ClientTimeout: time.Second, APIKey: "key-" + test.resumedBy})
				if got.Status != test.want || got.Status == 503 && got.After == 0 {
					t.Errorf("%+v", got)
				}
			})
		})
	}
}

// TestStreamIDsOfTeams guards against starts that other gateways can't find, or that they find for another team.
func TestStreamIDsOfTeams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTeamGateway(t, "press", "shops")
		b.ask(t.Context(), "/live/x", "key-press")
		var queried []uint64
		b.setEndpoints(softwareEndpoint("w1", "v1"), softwareEndpoint("w2", "v2"))
		other := newTeamGateway(t, "press", "shops")
		other.setEndpoints(softwareEndpoint("w1", "v1"), softwareEndpoint("w2", "v2"))
		other.SetStewards([]string{"0"})
		other.askOrigin = func(_ context.Context, _ string, query *wirepb.OriginQuery) (*wirepb.OriginReply, error) {
			queried = append(queried, query.GetStream())
			return &wirepb.OriginReply{}, nil
		}
		var found []bool
		for _, key := range []string{"key-press", "key-shops"} {
			other.do(t.Context(), "/live/x", testModel, Request{ID: "r2", Resumes: "r1", LastEvent: "1", ClientTimeout: time.Second, APIKey: key})
		}
		for _, id := range queried {
			_, known := b.resumption.starts.Find(id, time.Now())
			found = append(found, known)
		}
		if diff := cmp.Diff([]bool{true, false}, found); diff != "" {
			t.Error(diff)
		}
	})
}

// TestRunningRequestKeepsItsTeam guards against running requests that are ended, or go on for no team, once a table removes their key.
func TestRunningRequestKeepsItsTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b *testGateway
		b = newTestGateway(t, func(_ context.Context, call Call) (*Response, error) {
			if len(b.calls) > 1 {
				return streamResponse(3, io.EOF), nil
			}
			if err := b.applyTable(uplink.Table{Version: 2}); err != nil {
				t.Error(err)
			}
			return streamResponse(1, ErrIncompleteResponse{Endpoint: call.Endpoint, Cause: io.ErrUnexpectedEOF}), nil
		}, engineEndpoint("w1", testModel), engineEndpoint("w2", testModel))
		b.table.Store(newTeamTable(t, 1, "press"))
		b.decodeTable = func([]byte) (*route.Table, error) { return newTeamTable(t, 2, "shops"), nil }
		got := b.ask(t.Context(), "/live/x", "key-press")
		if got.Status != http.StatusOK || got.Cut || len(b.calls) != 2 || b.calls[1].Team != "press" {
			t.Errorf("%+v, %+v", got, b.calls)
		}
		if after := b.ask(t.Context(), "/live/x", "key-press"); after.Status != http.StatusUnauthorized {
			t.Errorf("the next request: %+v", after)
		}
	})
}

// TestKeysAreNotLogged guards against keys in log lines and metrics, and checks what is logged of a team and of a refusal for a key.
func TestKeysAreNotLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTeamGateway(t, "press")
		log := captureLog(t, func(log logr.Logger) {
			b.log = log
			for _, key := range []string{"key-press", "key-none", ""} {
				b.ask(t.Context(), "/read/x", key)
			}
			b.setEndpoints()
			b.RefuseWaiting()
			b.ask(t.Context(), "/read/x", "key-press")
			b.ask(t.Context(), "/public/x", "")
		})
		var exported bytes.Buffer
		b.metrics.WritePrometheus(&exported)
		if strings.Contains(log+exported.String(), "key-") {
			t.Errorf("a key is shown:\n%s%s", log, exported.String())
		}
		type line struct {
			message string
			team    bool
		}
		want := map[line]int{{"request ended", true}: 2, {"request refused", true}: 1, {"request ended", false}: 1, {"request refused", false}: 1, {"no team for the request", false}: 2}
		got := map[line]int{}
		for text := range strings.Lines(log) {
			for known := range want {
				if strings.Contains(text, `msg="`+known.message+`"`) && strings.Contains(text, " team=press") == known.team {
					got[known]++
				}
			}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s\n%s", diff, log)
		}
		denied := findLogLine(log, `"no team for the request"`, "id=r1")
		for _, key := range operationsPageKeys(t)[`"no team for the request"`] {
			if !strings.Contains(denied, " "+key+"=") {
				t.Errorf("%s lacks the key %s of docs/OPERATIONS.md", denied, key)
			}
		}
		if !strings.Contains(denied, `reason="`+unknownKeyReason+`"`) {
			t.Error(denied)
		}
		for _, counter := range []string{`denied_keys_total{sent="true"} 1`, `denied_keys_total{sent="false"} 1`} {
			if !strings.Contains(exported.String(), counter) {
				t.Errorf("%s not found in\n%s", counter, exported.String())
			}
		}
	})
}
