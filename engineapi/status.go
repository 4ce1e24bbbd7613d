package engineapi

import (
	"net/http"
	"strconv"
)

// ErrInvalidStatus reports a response whose status code is none, like 000.
type ErrInvalidStatus struct{ Status int }

// Error implements error.
func (e ErrInvalidStatus) Error() string {
	return "a response has the invalid status code " + strconv.Itoa(e.Status)
}

// CheckStatus returns ErrInvalidStatus for a response that net/http accepts although its status code is none.
func CheckStatus(response *http.Response) error {
	if response.StatusCode < http.StatusContinue {
		return ErrInvalidStatus{Status: response.StatusCode}
	}
	return nil
}

// CheckedTransport is a transport that fails with ErrInvalidStatus.
type CheckedTransport struct{ Base http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t CheckedTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Base.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections implements the interface of http.Client.CloseIdleConnections.
func (t CheckedTransport) CloseIdleConnections() {
	if base, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		base.CloseIdleConnections()
	}
}
