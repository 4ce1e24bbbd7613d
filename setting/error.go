package setting

import (
	"errors"
	"fmt"
)

// ErrSettingInvalid is returned if a key of a settings file has a value that isn't allowed.
type ErrSettingInvalid struct {
	File    string
	Key     string
	Value   string
	Allowed string
}

// Error returns the file, the key, the value and the allowed values in one line.
func (err ErrSettingInvalid) Error() string {
	return fmt.Sprintf("%s: %s is %s; allowed: %s", err.File, err.Key, err.Value, err.Allowed)
}

// IsErrSettingInvalid reports whether err wraps an ErrSettingInvalid.
func IsErrSettingInvalid(err error) bool {
	var invalid ErrSettingInvalid
	return errors.As(err, &invalid)
}
