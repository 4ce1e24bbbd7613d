// Package view keeps a node's picture of the system: the catalog in force, the
// endpoints, and the lease on having heard from the quorum.
package view
