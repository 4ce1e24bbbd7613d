// Package logging writes a process's structured log lines to one output without
// ever blocking who logs: lines wait in a bounded ring, each message has a
// bounded rate, and what is dropped is counted, logged and exported.
package logging
