// Package gateway accepts client requests on a platform deployment, selects an endpoint for each of them, retries
// those that may be retried, and forwards the responses. Package platform implements the wire format of requests and
// responses.
package gateway
