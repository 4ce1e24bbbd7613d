package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"burdocksaddle/operatorapi"

	"github.com/cenkalti/backoff/v5"
)

const (
	// attemptTimeout limits a single attempt, since the peer of a connection may stop responding.
	attemptTimeout = 5 * time.Second
	// initialBackoff is the delay before the second attempt; it grows exponentially.
	initialBackoff   = 100 * time.Millisecond
	maxResponseBytes = 64 << 20
)

// client is an operator API client for one control member.
type client struct {
	address string
	token   string
	// timeout limits all attempts of one request together.
	timeout time.Duration
}

// apiRequest is a request to the operator API; all its attempts share one operation ID.
type apiRequest struct {
	method      string
	path        string
	body        []byte
	operationID string
	base        uint64
	// longPoll is how long the control member may delay the response.
	longPoll time.Duration
}

type apiResponse struct {
	version uint64
	body    []byte
}

// do sends a request and retries it with exponential backoff if the response is lost. If the first connection attempt
// fails, the request is not retried.
func (c client) do(ctx context.Context, req apiRequest) (apiResponse, error) {
	sent := false
	attempt := func() (apiResponse, error) {
		got, err := c.attempt(ctx, req)
		if !sent && isDialError(err) {
			return got, backoff.Permanent(err)
		}
		sent = sent || !isDialError(err)
		return got, err
	}
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval = initialBackoff
	got, err := backoff.Retry(ctx, attempt, backoff.WithBackOff(backOff), backoff.WithMaxElapsedTime(c.timeout))
	if err != nil && isNoResponse(err) {
		err = ErrNoResponse{Address: c.address, OperationID: req.operationID, Sent: sent, Cause: err}
	}
	return got, err
}

func (c client) attempt(ctx context.Context, req apiRequest) (apiResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout+req.longPoll)
	defer cancel()
	request, err := c.request(ctx, req)
	if err != nil {
		return apiResponse{}, backoff.Permanent(ErrAddressInvalid{Address: c.address})
	}
	// Use a new connection for each attempt, since a reused one may no longer get responses.
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return apiResponse{}, errNoResponse{cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return apiResponse{}, errNoResponse{cause: err}
	}
	if response.StatusCode/100 != 2 {
		return apiResponse{}, parseRefusal(response, body, req.operationID)
	}
	version, _ := strconv.ParseUint(strings.Trim(response.Header.Get("ETag"), `"`), 10, 64)
	return apiResponse{version: version, body: body}, nil
}

func (c client) request(ctx context.Context, req apiRequest) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, req.method, strings.TrimSuffix(c.address, "/")+req.path, bytes.NewReader(req.body))
	if err != nil {
		return nil, err
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	if req.operationID != "" {
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set(operatorapi.HeaderOperationID, req.operationID)
		request.Header.Set(operatorapi.HeaderIfMatch, strconv.Quote(strconv.FormatUint(req.base, 10)))
	}
	return request, nil
}

// parseRefusal decodes the problem in an error response. The error is retryable only if the control member is temporarily
// unable to answer.
func parseRefusal(response *http.Response, body []byte, operationID string) error {
	problem := operatorapi.Problem{}
	if json.Unmarshal(body, &problem) != nil || problem.Title == "" {
		problem = operatorapi.Problem{Title: http.StatusText(response.StatusCode)}
	}
	problem.Status = response.StatusCode
	refused := ErrRefused{Problem: problem, OperationID: operationID}
	switch response.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusTooManyRequests:
		return refused
	default:
		return backoff.Permanent(refused)
	}
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// errNoResponse is returned if a single attempt received no complete response. If no attempt does, the request fails with
// ErrNoResponse.
type errNoResponse struct {
	cause error
}

// Error returns the message of the underlying error.
func (err errNoResponse) Error() string {
	return err.cause.Error()
}

// Unwrap returns the underlying error.
func (err errNoResponse) Unwrap() error {
	return err.cause
}

func isNoResponse(err error) bool {
	var lost errNoResponse
	return errors.As(err, &lost) || errors.Is(err, context.DeadlineExceeded)
}
