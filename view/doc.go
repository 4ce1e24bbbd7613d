// Package view maintains a node's view of the system: the active catalog, the
// endpoints, and the lease that confirms recent contact with the quorum.
package view
