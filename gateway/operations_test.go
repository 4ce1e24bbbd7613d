package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/go-logr/logr"

	"burdocksaddle/logging"
)

// TestOperationsPage runs the three kinds of failed requests described in docs/OPERATIONS.md. Each log line that the
// page names must be logged under the request's id with all the keys that the page lists.
func TestOperationsPage(t *testing.T) {
	keys := operationsPageKeys(t)
	send := func(end error) func(context.Context, Call) (*Response, error) {
		return func(context.Context, Call) (*Response, error) { return streamResponse(2, end), nil }
	}
	tests := map[string]struct {
		send              func(context.Context, Call) (*Response, error)
		held              []string
		lines             []string
		outcome, evidence string
	}{
		"refused immediately":   {send(io.EOF), nil, []string{`"request refused"`}, "outcome=Refused", `reason="its model cannot be loaded in time"`},
		"failed at an endpoint": {func(context.Context, Call) (*Response, error) { return nil, errCrash }, []string{testModel}, []string{`"attempt failed"`}, "outcome=Failed", "ended early"},
		"cut in mid-stream":     {send(errCrash), []string{testModel}, []string{`"attempt failed"`}, "outcome=Cut", "events=2"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log := captureLog(t, func(log logr.Logger) {
					b := newTestGateway(t, test.send, engineEndpoint("w1", test.held...))
					b.log, b.currentLeader = log, "steward"
					b.doRequest(t.Context(), "/draft/a", testModel, 4_000_000_000)
				})
				for _, message := range append(test.lines, `"request ended"`) {
					line := findLogLine(log, message, "id=r1")
					if line == "" || len(keys[message]) == 0 {
						t.Fatalf("log line %s not found in\n%s", message, log)
					}
					for _, key := range keys[message] {
						if !strings.Contains(line, " "+key+"=") {
							t.Errorf("log line %s lacks key %s: %s", message, key, line)
						}
					}
				}
				if !strings.Contains(log, test.outcome) || !strings.Contains(log, test.evidence) {
					t.Errorf("%s or %s not found in\n%s", test.outcome, test.evidence, log)
				}
			})
		})
	}
}

// operationsPageKeys returns the keys of the log lines that docs/OPERATIONS.md lists, by their quoted messages.
func operationsPageKeys(t *testing.T) map[string][]string {
	t.Helper()
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	pattern := regexp.MustCompile(`(?m)^ {4}msg=("[^"]+")((?: \w+)+)$`)
	keys := map[string][]string{}
	for _, line := range pattern.FindAllStringSubmatch(string(page), -1) {
		keys[line[1]] = strings.Fields(line[2])
	}
	return keys
}

// captureLog returns what is logged while run executes.
func captureLog(t *testing.T, run func(logr.Logger)) string {
	t.Helper()
	var out bytes.Buffer
	writer := logging.New(&out)
	ctx, cancel := context.WithCancel(t.Context())
	ended := writer.Run(ctx)
	run(writer.Logger(0))
	cancel()
	if err := errors.Join(<-ended); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func findLogLine(log, message, id string) string {
	for line := range strings.Lines(log) {
		if strings.Contains(line, "msg="+message) && strings.Contains(line, id) {
			return line
		}
	}
	return ""
}
