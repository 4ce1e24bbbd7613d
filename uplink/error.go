package uplink

import (
	"errors"
	"fmt"

	"burdocksaddle/delta"
)

// ErrNotNewer is returned if a steward sends a table that is not newer than the one that the process has.
type ErrNotNewer struct {
	Steward string
	Version uint64
}

// Error implements error.
func (e ErrNotNewer) Error() string {
	return fmt.Sprintf("steward %s sent version %d, which is not newer than the current one", e.Steward, e.Version)
}

func isErrDecode(err error) bool {
	var decode delta.ErrDecode
	return errors.As(err, &decode)
}
