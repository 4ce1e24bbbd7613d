// Package entry takes callers' requests, queues them, sends them to agents and
// passes the answers back.
package entry
