// Package routing is the aggregate that chooses an endpoint: load as seen and as
// reported, adapter and prompt prefix at hand, data centre, failures of late.
package routing
