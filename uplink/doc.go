// Package uplink maintains a stream from a gateway to each steward and fetches
// the operator's table from them. It gets the stewards' addresses from the
// settings and from the stewards themselves, detects unresponsive stewards and
// reconnects to them.
package uplink
