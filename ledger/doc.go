// Package ledger keeps claims: a request that must not be repeated is claimed once, before it is dispatched.
package ledger
