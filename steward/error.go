package steward

import "fmt"

// ErrNotCommitted is returned when a change was not committed, or when its outcome is unknown.
type ErrNotCommitted struct{ Cause error }

func (e ErrNotCommitted) Error() string {
	return fmt.Sprintf("the change is not known to be committed: %v", e.Cause)
}

func (e ErrNotCommitted) Unwrap() error { return e.Cause }

// ErrNoTable is returned when no configuration has been committed yet.
type ErrNoTable struct{}

func (ErrNoTable) Error() string { return "no configuration was accepted yet" }

// errRemote is the error text of another steward's reply.
type errRemote struct{ text string }

func (e errRemote) Error() string { return e.text }
