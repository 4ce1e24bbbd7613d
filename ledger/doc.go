// Package ledger keeps claims: a non-repeatable request is claimed once, before it is dispatched.
package ledger
