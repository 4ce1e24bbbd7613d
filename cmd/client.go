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
	// tryTimeout bounds one try, since a connection may go silent.
	tryTimeout = 5 * time.Second
	// firstPause comes before the second try; later pauses grow.
	firstPause     = 100 * time.Millisecond
	maxAnswerBytes = 64 << 20
)

// client calls the operator API of one control member.
type client struct {
	address string
	token   string
	// timeout bounds all tries of one call.
	timeout time.Duration
}

// call is one request; its operation id is the same on each try.
type call struct {
	method      string
	path        string
	body        []byte
	operationID string
	base        uint64
	// held is how long the control may hold the answer back.
	held time.Duration
}

type answer struct {
	version uint64
	body    []byte
}

// do tries again while answers are lost; what was refused before it was sent isn't tried again.
func (c client) do(ctx context.Context, one call) (answer, error) {
	sent := false
	try := func() (answer, error) {
		got, err := c.try(ctx, one)
		if !sent && isDial(err) {
			return got, backoff.Permanent(err)
		}
		sent = sent || !isDial(err)
		return got, err
	}
	pauses := backoff.NewExponentialBackOff()
	pauses.InitialInterval = firstPause
	got, err := backoff.Retry(ctx, try, backoff.WithBackOff(pauses), backoff.WithMaxElapsedTime(c.timeout))
	if err != nil && isLost(err) {
		err = ErrAnswerLost{Address: c.address, OperationID: one.operationID, Sent: sent, Cause: err}
	}
	return got, err
}

func (c client) try(ctx context.Context, one call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout+one.held)
	defer cancel()
	request, err := c.request(ctx, one)
	if err != nil {
		return answer{}, backoff.Permanent(ErrAddressInvalid{Address: c.address})
	}
	// A new connection for each try, since an old one may have gone silent.
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return answer{}, errLost{cause: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, errLost{cause: err}
	}
	if response.StatusCode/100 != 2 {
		return answer{}, refusal(response, body, one.operationID)
	}
	version, _ := strconv.ParseUint(strings.Trim(response.Header.Get("ETag"), `"`), 10, 64)
	return answer{version: version, body: body}, nil
}

func (c client) request(ctx context.Context, one call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, one.method, strings.TrimSuffix(c.address, "/")+one.path, bytes.NewReader(one.body))
	if err != nil {
		return nil, err
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	if one.operationID != "" {
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set(operatorapi.HeaderOperationID, one.operationID)
		request.Header.Set(operatorapi.HeaderIfMatch, strconv.Quote(strconv.FormatUint(one.base, 10)))
	}
	return request, nil
}

// refusal reads a problem; only a control that cannot answer now is asked again.
func refusal(response *http.Response, body []byte, operationID string) error {
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

func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// errLost says that no whole answer came.
type errLost struct {
	cause error
}

// Error returns the cause's text.
func (err errLost) Error() string {
	return err.cause.Error()
}

// Unwrap returns the cause.
func (err errLost) Unwrap() error {
	return err.cause
}

func isLost(err error) bool {
	var lost errLost
	return errors.As(err, &lost) || errors.Is(err, context.DeadlineExceeded)
}
