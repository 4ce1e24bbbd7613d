// Package worker holds what is known of the platform's workers: plain values
// that the list, their own reports and a steward's snapshots are turned into.
package worker
