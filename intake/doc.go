// Package intake bounds what a process holds for its clients, on all its listeners: connections, heads, requests in progress, and bytes that
// nobody reads. Package buffering decides what is admitted and which connection is closed first.
package intake
