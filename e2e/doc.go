// Package e2e tests whole clusters under load while injecting faults. They run as real processes on loopback addresses,
// or in one process over an in-memory network.
package e2e
