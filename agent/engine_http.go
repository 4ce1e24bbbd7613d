package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"
)

const (
	engineTimeout    = 2 * time.Second
	maxResponseBytes = 8 << 20
	// maxResponseValues limits the values of a response, which take up many times their length once they are decoded.
	maxResponseValues = 1 << 17
)

func (a *Agent) postEngine(ctx context.Context, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return a.doJSON(ctx, http.MethodPost, a.settings.Agent.EndpointURL+path, bytes.NewReader(data), nil)
}

func (a *Agent) getEngine(ctx context.Context, path string, result any) error {
	err := a.doJSON(ctx, http.MethodGet, a.settings.Agent.EndpointURL+path, nil, result)
	if err != nil {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.engineInterrupted = true
	}
	return err
}

// doJSON sends a request with a timeout and decodes the JSON response into result, unless that is nil. It returns
// ErrEngineRefused for status codes of 300 and above, and ErrTooManyValues.
func (a *Agent) doJSON(ctx context.Context, method, url string, body io.Reader, result any) error {
	ctx, cancel := context.WithTimeout(ctx, engineTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return err
	}
	response, err := a.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		return ErrEngineRefused{Path: request.URL.Path, Status: response.StatusCode}
	}
	if result == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxResponseBytes))
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return err
	}
	if bytes.Count(data, []byte{','}) > maxResponseValues {
		return ErrTooManyValues{Path: request.URL.Path}
	}
	return json.Unmarshal(data, result)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
