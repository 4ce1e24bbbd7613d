// Package sidecar runs beside one model endpoint: it tells the stewards what the
// endpoint holds and does, and is the only process that gives it orders, on the
// word of the leading steward or of a gateway that waits for an adapter.
package sidecar
