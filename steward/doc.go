// Package steward carries the duties of a core machine on a platform
// deployment: it replicates the operator's table, answers its reads, shows
// gateways the table and the endpoints, holds the endpoints that the log assigns
// to it, and, while it leads, decides with package scaling where models are.
package steward
