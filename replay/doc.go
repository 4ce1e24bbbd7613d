// Package replay simulates the placement policy on arrival traces, with load times computed by functions of
// time, and compares it with baselines and lower bounds.
package replay
