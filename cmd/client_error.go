package cmd

import (
	"errors"
	"fmt"
	"net/http"
	"strings"

	"burdocksaddle/operatorapi"
)

// ErrAddressInvalid says that the operator address is no URL.
type ErrAddressInvalid struct {
	Address string
}

// Error names the address and what is allowed.
func (err ErrAddressInvalid) Error() string {
	return fmt.Sprintf("--address is %q; allowed: a URL such as %s", err.Address, defaultAddress)
}

// IsErrAddressInvalid reports whether err holds an ErrAddressInvalid.
func IsErrAddressInvalid(err error) bool {
	var invalid ErrAddressInvalid
	return errors.As(err, &invalid)
}

// ErrAnswerLost says that no answer came; where Sent, a change may have been accepted.
type ErrAnswerLost struct {
	Address     string
	OperationID string
	Sent        bool
	Cause       error
}

// Error says what is known and how to ask again.
func (err ErrAnswerLost) Error() string {
	if err.Sent && err.OperationID != "" {
		return fmt.Sprintf("no answer from %s, so the change may or may not be accepted; send it again with --operation-id %s (%v)",
			err.Address, err.OperationID, err.Cause)
	}
	return fmt.Sprintf("no answer from %s (%v)", err.Address, err.Cause)
}

// Unwrap returns the cause.
func (err ErrAnswerLost) Unwrap() error {
	return err.Cause
}

// IsErrAnswerLost reports whether err holds an ErrAnswerLost.
func IsErrAnswerLost(err error) bool {
	var lost ErrAnswerLost
	return errors.As(err, &lost)
}

// ErrRefused is the control's refusal; OperationID is the change's, if it was one.
type ErrRefused struct {
	Problem     operatorapi.Problem
	OperationID string
}

// Error puts the refusal into one line.
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
		line.WriteString(" (held by " + p.Holder + ")")
	}
	// A control that fails may still commit the change that it has taken.
	if p.Status >= http.StatusInternalServerError && err.OperationID != "" {
		line.WriteString("; send the change again with --operation-id " + err.OperationID)
	}
	return line.String()
}

// IsErrRefused reports whether err holds an ErrRefused.
func IsErrRefused(err error) bool {
	var refused ErrRefused
	return errors.As(err, &refused)
}

// ErrNotInForce says that a version isn't in force everywhere yet.
type ErrNotInForce struct {
	Version uint64
	Waiting []string
}

// Error names the nodes that are waited for.
func (err ErrNotInForce) Error() string {
	return fmt.Sprintf("version %d is not in force yet; waiting for %s", err.Version, strings.Join(err.Waiting, ", "))
}

// IsErrNotInForce reports whether err holds an ErrNotInForce.
func IsErrNotInForce(err error) bool {
	var waiting ErrNotInForce
	return errors.As(err, &waiting)
}
