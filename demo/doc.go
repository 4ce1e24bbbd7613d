// Package demo runs every role and the stand-ins for outside systems in one
// process on loopback.
package demo
