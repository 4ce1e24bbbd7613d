package catalog

import (
	"burdocksaddle/jsonc"
	"errors"
	"fmt"
)

// Parse reads a catalog, JSON with comments, and checks the whole; the error joins one ErrFileInvalid for each fault.
func Parse(name string, data []byte) (Catalog, error) {
	var read Catalog
	if err := decode(name, data, &read); err != nil {
		return Catalog{}, err
	}
	c := read.indexed()
	if err := c.Validate(); err != nil {
		return Catalog{}, inFile(name, err)
	}
	return c, nil
}

// ParseChange reads a change, JSON with comments; it is checked only when applied.
func ParseChange(name string, data []byte) (Change, error) {
	var change Change
	if err := decode(name, data, &change); err != nil {
		return Change{}, err
	}
	return change, nil
}

func decode(name string, data []byte, into any) error {
	var faults []error
	for _, p := range jsonc.Decode(data, into) {
		fault := ErrValueInvalid{Key: p.Key, Value: p.Value, Allowed: p.Allowed}
		faults = append(faults, ErrFileInvalid{File: name, Cause: fault})
	}
	return errors.Join(faults...)
}

// inFile names the file on the line of each joined fault.
func inFile(name string, err error) error {
	joined, ok := err.(interface{ Unwrap() []error })
	if !ok {
		return ErrFileInvalid{File: name, Cause: err}
	}
	var faults []error
	for _, fault := range joined.Unwrap() {
		faults = append(faults, ErrFileInvalid{File: name, Cause: fault})
	}
	return errors.Join(faults...)
}

// ErrFileInvalid says which file holds a fault.
type ErrFileInvalid struct {
	File  string
	Cause error
}

// Error names the file and the fault, in one line.
func (err ErrFileInvalid) Error() string {
	return fmt.Sprintf("%s: %v", err.File, err.Cause)
}

// Unwrap returns the fault.
func (err ErrFileInvalid) Unwrap() error {
	return err.Cause
}

// IsErrFileInvalid reports whether err holds an ErrFileInvalid.
func IsErrFileInvalid(err error) bool {
	var invalid ErrFileInvalid
	return errors.As(err, &invalid)
}
