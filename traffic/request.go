package traffic

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"burdocksaddle/engineapi"
)

// Send sends one request through an entry and checks the answer. It waits until the deadline plus Slack at most.
func (t Target) Send(client *http.Client, entry int, k Kind, key string) Attempt {
	a := Attempt{Kind: k, Key: key, Entry: entry, Begin: time.Now()}
	deadline := cmp.Or(t.Deadline, Deadline)
	ctx, cancel := context.WithTimeout(context.Background(), deadline+Slack)
	defer cancel()
	path, body := t.pathAndBody(k, key)
	method := http.MethodPost
	if k == Lookup {
		method = http.MethodGet
	}
	request, err := http.NewRequestWithContext(ctx, method, t.EntryURLs[entry]+path, bytes.NewReader(body))
	if err != nil {
		a.Incomplete, a.Detail = true, err.Error()
		return a
	}
	request.Header.Set("Idempotency-Key", key)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	response, err := client.Do(request)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		a.Status = response.StatusCode
		var data []byte
		data, err = io.ReadAll(response.Body)
		a.checkAnswer(t.expectedText(key), data)
	}
	if err != nil {
		a.Incomplete, a.Detail = true, err.Error()+" "+a.Detail
	}
	a.Duration = time.Since(a.Begin)
	return a
}

// modelForKey returns the model that is requested with a key.
func (t Target) modelForKey(key string) string {
	n := 0
	for _, c := range key {
		n += int(c)
	}
	return t.Models[n%len(t.Models)]
}

// expectedText returns the text that the simulated engine generates for a key.
func (t Target) expectedText(key string) string {
	return "echo " + t.modelForKey(key) + ": " + prompt(key)
}

func (t Target) pathAndBody(k Kind, key string) (string, []byte) {
	switch k {
	case Booking:
		return "/services/" + t.Service + "/bookings", []byte(key)
	case Lookup:
		return "/services/" + t.Service + "/stock/" + key, nil
	default:
		body, _ := json.Marshal(engineapi.ChatRequest{
			Model: t.modelForKey(key), Stream: k == Stream,
			Messages: []engineapi.ChatMessage{{Role: engineapi.RoleUser, Content: prompt(key)}},
		})
		return engineapi.PathCompletions, body
	}
}

// prompt returns a prompt that is long enough to keep a stream open for some time.
func prompt(key string) string {
	words := make([]string, 0, 25)
	for i := range 25 {
		words = append(words, fmt.Sprintf("%s/%d", key, i))
	}
	return strings.Join(words, " ")
}

// checkAnswer checks that an answer is complete and belongs to this request.
func (a *Attempt) checkAnswer(expected string, data []byte) {
	if a.Status != http.StatusOK {
		_ = json.Unmarshal(data, &a.Problem)
		a.Detail = string(data)
		return
	}
	want, got := expected, ""
	switch a.Kind {
	case Booking:
		want, got = a.Key, serviceAnswer(data).Body
	case Lookup:
		want, got = "/stock/"+a.Key, serviceAnswer(data).Path
	case Completion:
		var answer engineapi.ChatCompletion
		if json.Unmarshal(data, &answer) == nil && len(answer.Choices) > 0 && answer.Choices[0].Message != nil {
			got = answer.Choices[0].Message.Content
		}
	case Stream:
		var complete bool
		if got, complete = JoinStream(string(data)); !complete {
			a.Incomplete, a.WrongAnswer, a.Detail = true, !strings.HasPrefix(want, got), tail(string(data))
			return
		}
	}
	if a.WrongAnswer = got != want; a.WrongAnswer {
		a.Detail = string(data)
	}
}

func serviceAnswer(data []byte) (answer struct{ Path, Body string }) {
	_ = json.Unmarshal(data, &answer)
	return answer
}

// JoinStream concatenates the content of a stream's chunks and reports whether the stream is complete.
func JoinStream(text string) (string, bool) {
	var content strings.Builder
	for line := range strings.Lines(text) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if data == engineapi.StreamDone {
			return content.String(), true
		}
		var chunk engineapi.ChatCompletion
		if ok && json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) > 0 && chunk.Choices[0].Delta != nil {
			content.WriteString(chunk.Choices[0].Delta.Content)
		}
	}
	return content.String(), false
}

func tail(text string) string { return text[max(0, len(text)-300):] }
