// Package steward carries the duties of a core machine on a platform
// deployment: it replicates the operator's table, answers its reads, shows
// gateways the table and the workers, and, while it leads, gives workers the
// orders that package scaling decides on.
package steward
