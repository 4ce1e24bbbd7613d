// Package registers holds the measurement behind docs/REGISTERS.md: quorum
// registers against the replicated log, on links that exist only in memory.
package registers
