// Package e2e runs the binary as many processes on loopback and breaks them while callers ask.
package e2e
