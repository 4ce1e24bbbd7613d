// Package logging writes a process's structured log lines to one output without
// blocking the goroutines that log: lines are buffered in a bounded queue, each
// message is rate limited, and dropped lines are counted, logged and exported.
package logging
