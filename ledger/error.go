package ledger

import (
	"errors"
	"strconv"
)

// ErrKeyReused tells that a caller used a key for another request.
type ErrKeyReused struct{ Key string }

// Error implements error.
func (e ErrKeyReused) Error() string { return "key " + e.Key + " was used with another request" }

// IsErrKeyReused tells whether an error is an ErrKeyReused.
func IsErrKeyReused(err error) bool {
	var reused ErrKeyReused
	return errors.As(err, &reused)
}

// ErrLedgerFull tells that no further claim can be held.
type ErrLedgerFull struct{ Claims int }

// Error implements error.
func (e ErrLedgerFull) Error() string {
	return "the ledger is full with " + strconv.Itoa(e.Claims) + " claims"
}

// IsErrLedgerFull tells whether an error is an ErrLedgerFull.
func IsErrLedgerFull(err error) bool {
	var full ErrLedgerFull
	return errors.As(err, &full)
}

// ErrOutcomeConflict tells that a claim was said to have run and not to have run.
type ErrOutcomeConflict struct {
	Claim uint64
	Held  Outcome
	Told  Outcome
}

// Error implements error.
func (e ErrOutcomeConflict) Error() string {
	return "claim " + strconv.FormatUint(e.Claim, 10) + " holds " + string(e.Held) + " and was told " + string(e.Told)
}

// IsErrOutcomeConflict tells whether an error is an ErrOutcomeConflict.
func IsErrOutcomeConflict(err error) bool {
	var conflict ErrOutcomeConflict
	return errors.As(err, &conflict)
}
