// Package buffering decides what a gateway may buffer, within one budget, for clients that read slowly and for long bodies.
package buffering
