// Package steward implements the steward role of a platform deployment: it
// replicates the operator's table, serves reads of it, streams the table and the
// endpoints to gateways, holds the endpoints that the replicated log assigns to
// it, and, while it leads, decides with package scaling which models each
// endpoint loads.
package steward
