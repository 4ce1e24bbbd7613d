package peer

import "errors"

// ErrFileInvalid tells that a certificate file cannot be read.
type ErrFileInvalid struct {
	File  string
	Cause error
}

// Error names the file; it holds nothing of its content.
func (e ErrFileInvalid) Error() string { return e.File + " cannot be used: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e ErrFileInvalid) Unwrap() error { return e.Cause }

// IsErrFileInvalid tells whether an error is an ErrFileInvalid.
func IsErrFileInvalid(err error) bool {
	var invalid ErrFileInvalid
	return errors.As(err, &invalid)
}

type errNoCertificate struct{}

// Error implements error.
func (errNoCertificate) Error() string { return "it holds no certificate" }
