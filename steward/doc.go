// Package steward carries the duties of a core machine on a platform
// deployment: it replicates the operator's table, answers its reads, shows
// gateways the table and the endpoints, and, while it leads, gives endpoints the
// orders that package scaling decides on.
package steward
