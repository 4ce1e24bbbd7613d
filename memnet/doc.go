// Package memnet stands in for the network between hosts: connections in
// memory, on the runtime's clock, that tests delay, stall, lose and reset.
package memnet
