// Package route defines the configuration of a platform deployment: routes,
// services with their models, and limits, as one immutable, versioned table.
// It does not select endpoints and performs no I/O.
package route
