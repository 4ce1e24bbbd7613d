// Package peer authenticates the system's processes to each other by mutual TLS
// 1.3. Certificate files are reloaded while sessions stay open.
package peer
