// Package demo runs all roles and the stand-ins for external systems in one
// process on loopback addresses.
package demo
