// Package ledger is the aggregate of claims: each request that may not be
// repeated is claimed once, before it is dispatched.
package ledger
