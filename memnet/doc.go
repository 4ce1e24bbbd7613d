// Package memnet simulates the network between hosts for tests. Its connections are held in memory, use the
// clock of the Go runtime, and can be delayed, stalled, dropped and reset.
package memnet
