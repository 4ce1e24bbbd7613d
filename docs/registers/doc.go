// Package registers contains the measurement for docs/REGISTERS.md: quorum registers compared with the
// replicated log on a network simulated in memory.
package registers
