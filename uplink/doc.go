// Package uplink keeps a stream to each steward from a gateway: it
// finds stewards by the settings and by each other's word, notices silent ones
// and comes back to them.
package uplink
