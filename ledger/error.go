package ledger

import (
	"errors"
	"strconv"
)

// ErrKeyReused is returned when a caller uses an idempotency key for a different request.
type ErrKeyReused struct{ Key string }

// Error implements error.
func (e ErrKeyReused) Error() string {
	return "key " + e.Key + " was used with another request"
}

// IsErrKeyReused reports whether err wraps an ErrKeyReused.
func IsErrKeyReused(err error) bool {
	var reused ErrKeyReused
	return errors.As(err, &reused)
}

// ErrLedgerFull is returned when the ledger cannot hold another claim.
type ErrLedgerFull struct{ Claims int }

// Error implements error.
func (e ErrLedgerFull) Error() string {
	return "the ledger is full with " + strconv.Itoa(e.Claims) + " claims"
}

// IsErrLedgerFull reports whether err wraps an ErrLedgerFull.
func IsErrLedgerFull(err error) bool {
	var full ErrLedgerFull
	return errors.As(err, &full)
}

// ErrOutcomeConflict is returned when a claim is reported both as run and as not run.
type ErrOutcomeConflict struct {
	Claim     uint64
	Held      Outcome
	Requested Outcome
}

// Error implements error.
func (e ErrOutcomeConflict) Error() string {
	return "claim " + strconv.FormatUint(e.Claim, 10) + " holds " + string(e.Held) + " and was told " + string(e.Requested)
}

// IsErrOutcomeConflict reports whether err wraps an ErrOutcomeConflict.
func IsErrOutcomeConflict(err error) bool {
	var conflict ErrOutcomeConflict
	return errors.As(err, &conflict)
}
