// Package agent implements the process that runs beside each endpoint. It ensures that non-repeatable requests start at
// most once, applies replica orders and reports the replicas that the endpoint actually holds.
package agent
