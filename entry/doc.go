// Package entry accepts requests from callers, queues them, dispatches them to
// agents and returns the responses.
package entry
