// Package peer shows the system's processes to each other: mutual TLS 1.3 from
// files that are read again while sessions stay open.
package peer
