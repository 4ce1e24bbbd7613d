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
