package peer

import "errors"

// ErrFileInvalid reports that a certificate, key or CA file cannot be read or used.
type ErrFileInvalid struct {
	File  string
	Cause error
}

// Error implements error. The text names the file and contains nothing of its content.
func (e ErrFileInvalid) Error() string { return e.File + " cannot be used: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e ErrFileInvalid) Unwrap() error { return e.Cause }

// IsErrFileInvalid reports whether an error is an ErrFileInvalid.
func IsErrFileInvalid(err error) bool {
	var invalid ErrFileInvalid
	return errors.As(err, &invalid)
}

type errNoCertificate struct{}

// Error implements error.
func (errNoCertificate) Error() string { return "it contains no certificate" }
