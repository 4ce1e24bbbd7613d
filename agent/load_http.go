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
	engineTimeout = 2 * time.Second
	maxStateBytes = 8 << 20
)

func (a *Agent) post(ctx context.Context, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return a.ask(ctx, http.MethodPost, a.settings.Agent.EndpointURL+path, bytes.NewReader(data), nil)
}

func (a *Agent) get(ctx context.Context, path string, into any) error {
	return a.ask(ctx, http.MethodGet, a.settings.Agent.EndpointURL+path, nil, into)
}

// ask makes one bounded call; the error is ErrEngineRefused for an HTTP error.
func (a *Agent) ask(ctx context.Context, method, url string, body io.Reader, into any) error {
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
	if into == nil {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxStateBytes))
		return nil
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxStateBytes)).Decode(into)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
