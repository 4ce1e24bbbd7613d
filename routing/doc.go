// Package routing selects an endpoint for a request by its own and its reported load, cached adapters and prompt
// prefixes, data centre, and recent failures.
package routing
