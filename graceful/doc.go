// Package graceful stops HTTP servers without dropping requests that have arrived: net/http's own shutdown closes connections that count as
// idle although a request is on its way to the handler.
package graceful
