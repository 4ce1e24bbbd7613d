package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/go-cmp/cmp"
)

const (
	requests       = 100
	requestTimeout = 60 * time.Second
)

// TestHundredConcurrent asks for everything at once and checks that each
// caller gets its own answer, whole.
func TestHundredConcurrent(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	d, err := Start(ctx, logr.Discard())
	if err != nil {
		t.Fatal(err)
	}
	defer d.Wait()
	defer cancel()
	got, want := make([]string, requests), make([]string, requests)
	var group sync.WaitGroup
	for i := range requests {
		want[i] = marker(i)
		group.Go(func() { got[i] = ask(ctx, d.Callers[i%len(d.Callers)], i) })
	}
	group.Wait()
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("answers (-want +got):\n%s", diff)
	}
	for _, engine := range d.Engines {
		if counts := engine.Counts(); counts.Overcommits > 0 {
			t.Errorf("overcommits = %d", counts.Overcommits)
		}
	}
	for i := range requests {
		runs := 0
		for _, service := range d.Services {
			runs += service.Runs()["key-"+strconv.Itoa(i)]
		}
		if i%3 == 2 && runs != 1 {
			t.Errorf("booking %d ran %d times", i, runs)
		}
	}
}

// marker is what only the answer to request i holds.
func marker(i int) string { return "<marker-" + strconv.Itoa(i) + ">" }

// ask sends request i and returns the marker if the answer is whole, else what came.
func ask(ctx context.Context, base string, i int) string {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	model := Catalog().Models[i%len(Catalog().Models)].Name
	message := "please note " + marker(i)
	body, _ := json.Marshal(map[string]any{
		"model": model, "stream": i%3 == 1,
		"messages": []map[string]string{{"role": "user", "content": message}},
	})
	path := "/v1/chat/completions"
	if i%3 == 2 {
		path, body = "/services/dispatch-desk/bookings", []byte(marker(i))
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		return err.Error()
	}
	request.Header.Set("Idempotency-Key", "key-"+strconv.Itoa(i))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	return verdict(i, response.StatusCode, answer)
}

func verdict(i, status int, answer []byte) string {
	text := string(answer)
	switch {
	case status != http.StatusOK:
	case i%3 == 0 && strings.Contains(unescape(text), marker(i)):
		return marker(i)
	case i%3 == 1 && strings.HasSuffix(strings.TrimSpace(text), "data: [DONE]") && strings.Contains(joined(text), marker(i)):
		return marker(i)
	case i%3 == 2 && strings.Contains(unescape(text), marker(i)):
		return marker(i)
	}
	return strconv.Itoa(status) + " " + text
}

func unescape(text string) string {
	return strings.NewReplacer(`\u003c`, "<", `\u003e`, ">").Replace(text)
}

// joined puts the pieces of a streamed answer together.
func joined(stream string) string {
	var whole strings.Builder
	for line := range strings.Lines(stream) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if ok && json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 {
			whole.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return whole.String()
}
