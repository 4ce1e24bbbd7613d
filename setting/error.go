package setting

import (
	"errors"
	"fmt"
)

// ErrSettingInvalid says that one key of a settings file holds a value that isn't allowed.
type ErrSettingInvalid struct {
	File    string
	Key     string
	Value   string
	Allowed string
}

// Error names the file, the key, the value and what is allowed, in one line.
func (err ErrSettingInvalid) Error() string {
	return fmt.Sprintf("%s: %s is %s; allowed: %s", err.File, err.Key, err.Value, err.Allowed)
}

// IsErrSettingInvalid reports whether err holds an ErrSettingInvalid.
func IsErrSettingInvalid(err error) bool {
	var invalid ErrSettingInvalid
	return errors.As(err, &invalid)
}

// ErrFileUnreadable says that a settings file could not be read.
type ErrFileUnreadable struct {
	File  string
	Cause error
}

// Error names the file and the cause.
func (err ErrFileUnreadable) Error() string {
	return fmt.Sprintf("%s: cannot be read: %v", err.File, err.Cause)
}

// Unwrap returns the cause.
func (err ErrFileUnreadable) Unwrap() error {
	return err.Cause
}

// IsErrFileUnreadable reports whether err holds an ErrFileUnreadable.
func IsErrFileUnreadable(err error) bool {
	var unreadable ErrFileUnreadable
	return errors.As(err, &unreadable)
}
