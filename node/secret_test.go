package node

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"burdocksaddle/catalog"
	"burdocksaddle/operatorapi"
	"burdocksaddle/setting"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (l *logBuffer) Write(data []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(data)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// TestSecretsAreNotExposed sends requests with valid and invalid operator tokens and caller keys. None of these secrets may
// appear in the process's log, dumps or responses.
func TestSecretsAreNotExposed(t *testing.T) {
	const token, key = "token-5c1e", "caller-key-77ab"
	folder, addresses, listeners := t.TempDir(), []string{}, map[string]net.Listener{}
	for range 3 {
		var config net.ListenConfig
		listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addresses, listeners[listener.Addr().String()] = append(addresses, listener.Addr().String()), listener
	}
	s := setting.Defaults()
	s.Node, s.DataCentre, s.Roles = "one", "first", []setting.Role{setting.RoleControl, setting.RoleEntry}
	s.Listen, s.Operator.Listen, s.Entry.CallerListen = addresses[0], addresses[1], addresses[2]
	s.Controls, s.Control.Bootstrap = addresses[:1], []string{"one=" + addresses[0]}
	s.Operator.TokenFiles = map[string]string{"kit": secretFile(t, folder, "token", token)}
	s.Entry.CallerKeys = map[string]string{"yard": secretFile(t, folder, "key", key)}
	s.Entry.DrainMS, s.Entry.BalancerMS = 0, 0
	first := catalog.Catalog{
		Services: []catalog.Service{{Name: "desk", Kind: catalog.KindPlain}},
		Presets:  []catalog.Preset{{Name: "Ordinary", ColdStartWeight: 1}, {Name: "Peak", ColdStartWeight: 2}}, Preset: "Ordinary",
	}
	out := &logBuffer{}
	log := logr.FromSlogHandler(slog.NewTextHandler(out, &slog.HandlerOptions{Level: slog.Level(-9)}))
	ctx, cancel := context.WithCancel(t.Context())
	listen := func(_ context.Context, address string) (net.Listener, error) { return listeners[address], nil }
	n := New(s, WithLog(log), WithListen(listen), WithFirstCatalog(first))
	ended := n.Run(ctx)
	operator, caller := "http://"+addresses[1], "http://"+addresses[2]
	waitCtx, stop := context.WithTimeout(ctx, 20*time.Second)
	defer stop()
	// Wait for the first catalog: a change sent before it is rejected with 412, and a retry with the same operation ID would
	// get that response again.
	for seen := ""; !strings.Contains(seen, `"Version":1`) && waitCtx.Err() == nil; {
		_, seen = send(t, http.MethodGet, operator+operatorapi.PathCatalog, token, "")
	}
	status, responses := 0, ""
	for status != http.StatusOK && waitCtx.Err() == nil {
		status, _ = send(t, http.MethodPost, operator+operatorapi.PathPreset, token, `{"Preset":"Peak"}`)
	}
	for _, call := range []struct{ method, url, secret, body string }{
		{http.MethodGet, operator + operatorapi.PathState, token, ""},
		{http.MethodGet, operator + operatorapi.PathState, token + "-wrong", ""},
		{http.MethodGet, operator + operatorapi.PathHistory, token, ""},
		{http.MethodGet, operator + "/metrics", token, ""},
		{http.MethodPost, caller + "/services/desk/lookup?key=" + key, key, "x"},
		{http.MethodPost, caller + "/services/desk/lookup", key + "-wrong", "x"},
	} {
		got, body := send(t, call.method, call.url, call.secret, call.body)
		if strings.HasSuffix(call.secret, "-wrong") && got != http.StatusUnauthorized {
			t.Errorf("%s with a wrong secret got %d", call.url, got)
		}
		responses += body
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if logged := out.String(); !strings.Contains(logged, "operator=kit") || strings.Contains(logged, token) || strings.Contains(logged, key) {
		t.Errorf("log lacks the operator or contains a secret:\n%s", logged)
	}
	if strings.Contains(responses, token) || strings.Contains(responses, key) || !strings.Contains(responses, `"Catalog": 2`) {
		t.Errorf("responses lack the dump or contain a secret:\n%s", responses)
	}
}

func secretFile(t *testing.T, folder, name, secret string) string {
	t.Helper()
	file := filepath.Join(folder, name)
	if err := os.WriteFile(file, []byte(secret+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func send(t *testing.T, method, url, secret, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	request.Header.Set(operatorapi.HeaderOperationID, "op")
	request.Header.Set(operatorapi.HeaderIfMatch, `"1"`)
	request.Header.Set("Deadline-Ms", "500")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		t.Error(err)
	}
	return response.StatusCode, string(answer)
}
