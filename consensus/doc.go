// Package consensus implements the core of a Raft-based replicated log as a step function without I/O, goroutines or a
// clock. Its input is ticks, messages and proposals; its output is a Ready with what to persist, send and apply.
package consensus
