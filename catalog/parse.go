package catalog

import (
	"burdocksaddle/jsonc"
	"errors"
	"fmt"
)

// Parse decodes a catalog from JSON with comments and validates it. The error joins one ErrFileInvalid per problem found.
func Parse(name string, data []byte) (Catalog, error) {
	var decoded Catalog
	if err := decode(name, data, &decoded); err != nil {
		return Catalog{}, err
	}
	c := decoded.indexed()
	if err := c.Validate(); err != nil {
		return Catalog{}, wrapWithFile(name, err)
	}
	return c, nil
}

// ParseChange decodes a change from JSON with comments. The change is validated only when it is applied.
func ParseChange(name string, data []byte) (Change, error) {
	var change Change
	if err := decode(name, data, &change); err != nil {
		return Change{}, err
	}
	return change, nil
}

func decode(name string, data []byte, target any) error {
	var errs []error
	for _, p := range jsonc.Decode(data, target) {
		valueErr := ErrValueInvalid{Key: p.Key, Value: p.Value, Allowed: p.Allowed}
		errs = append(errs, ErrFileInvalid{File: name, Cause: valueErr})
	}
	return errors.Join(errs...)
}

// wrapWithFile wraps each joined error separately, so that each line of the message names the file.
func wrapWithFile(name string, err error) error {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return ErrFileInvalid{File: name, Cause: err}
	}
	var errs []error
	for _, cause := range joined.Unwrap() {
		errs = append(errs, ErrFileInvalid{File: name, Cause: cause})
	}
	return errors.Join(errs...)
}

// ErrFileInvalid is an error in the content of a file.
type ErrFileInvalid struct {
	File  string
	Cause error
}

// Error implements error.
func (err ErrFileInvalid) Error() string {
	return fmt.Sprintf("%s: %v", err.File, err.Cause)
}

// Unwrap returns the cause.
func (err ErrFileInvalid) Unwrap() error {
	return err.Cause
}

// IsErrFileInvalid reports whether err wraps an ErrFileInvalid.
func IsErrFileInvalid(err error) bool {
	var invalid ErrFileInvalid
	return errors.As(err, &invalid)
}
