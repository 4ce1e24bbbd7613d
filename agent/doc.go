// Package agent is the one process beside an endpoint: it guards starts,
// carries out load orders and reports what the endpoint really holds.
package agent
