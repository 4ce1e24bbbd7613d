// Package consensus is the core of the replicated log in the manner of Raft: a
// step function without I/O, goroutines or a clock. Ticks, messages and
// proposals come in; what to persist, send and apply goes out as a Ready.
package consensus
