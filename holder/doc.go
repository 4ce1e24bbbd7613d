// Package holder issues orders to model endpoints: commands to load or unload a
// model or an adapter. Each endpoint has at most one holder at a time, a steward
// that the replicated log assigns under a fencing token. Table computes the
// assignment. Holder tracks the state of one endpoint and carries out orders of
// the leading steward and adapter requests of gateways.
package holder
