// Package endpoint holds what is known of the platform's endpoints: plain values
// that the list, their own reports and a steward's snapshots are turned into.
package endpoint
