package cmd

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"burdocksaddle/operatorapi"
)

// ErrAddressInvalid is returned if the operator address isn't a URL.
type ErrAddressInvalid struct {
	Address string
}

// Error returns the address and the allowed form.
func (err ErrAddressInvalid) Error() string {
	return fmt.Sprintf("--address is %q; allowed: a URL such as %s", err.Address, defaultAddress)
}

// IsErrAddressInvalid reports whether err wraps an ErrAddressInvalid.
func IsErrAddressInvalid(err error) bool {
	var invalid ErrAddressInvalid
	return errors.As(err, &invalid)
}

// ErrNoResponse is returned if no complete response was received. If Sent is true, a change may have been accepted.
type ErrNoResponse struct {
	Address     string
	OperationID string
	Sent        bool
	Cause       error
}

// Error returns what is known of the outcome and how to resend a change safely.
func (err ErrNoResponse) Error() string {
	if err.Sent && err.OperationID != "" {
		return fmt.Sprintf("no response from %s, so the change may or may not be accepted; send it again with --operation-id %s (%v)",
			err.Address, err.OperationID, err.Cause)
	}
	return fmt.Sprintf("no response from %s (%v)", err.Address, err.Cause)
}

// Unwrap returns the underlying error.
func (err ErrNoResponse) Unwrap() error {
	return err.Cause
}

// IsErrNoResponse reports whether err wraps an ErrNoResponse.
func IsErrNoResponse(err error) bool {
	var lost ErrNoResponse
	return errors.As(err, &lost)
}

// ErrRefused is returned if the control member rejects a request. OperationID is set if the request was a change.
type ErrRefused struct {
	Problem     operatorapi.Problem
	OperationID string
}

// Error returns the problem in one line.
func (err ErrRefused) Error() string {
	p := err.Problem
	var line strings.Builder
	if p.Status == http.StatusPreconditionFailed {
		fmt.Fprintf(&line, "conflict: the catalog is at version %d, not at the version that the change is based on; ", p.CurrentVersion)
		line.WriteString("look at the current one with ctl get and apply the change again")
	} else {
		fmt.Fprintf(&line, "refused with %d %s", p.Status, p.Title)
	}
	if p.Detail != "" {
		line.WriteString(": " + strings.ReplaceAll(p.Detail, "\n", "; "))
	}
	if p.Code != "" {
		line.WriteString(" [" + p.Code + "]")
	}
	if p.Holder != "" {
		line.WriteString(" (last changed by " + p.Holder + ")")
	}
	// After a server error, the control member may still commit a change that it had already accepted.
	if p.Status >= http.StatusInternalServerError && err.OperationID != "" {
		line.WriteString("; send the change again with --operation-id " + err.OperationID)
	}
	return line.String()
}

// IsErrRefused reports whether err wraps an ErrRefused.
func IsErrRefused(err error) bool {
	var refused ErrRefused
	return errors.As(err, &refused)
}

// ErrNotInForce is returned if a catalog version isn't in force on all nodes yet.
type ErrNotInForce struct {
	Version uint64
	Waiting []string
}

// Error returns the version and the nodes that have not confirmed it.
func (err ErrNotInForce) Error() string {
	return fmt.Sprintf("version %d is not in force yet; waiting for %s", err.Version, strings.Join(err.Waiting, ", "))
}

// IsErrNotInForce reports whether err wraps an ErrNotInForce.
func IsErrNotInForce(err error) bool {
	var waiting ErrNotInForce
	return errors.As(err, &waiting)
}
