// Package endpoint defines the state of the platform's endpoints, as decoded from
// the endpoint list, the endpoints' own reports and a steward's snapshots, and the
// notices that endpoints give about themselves in their responses.
package endpoint
