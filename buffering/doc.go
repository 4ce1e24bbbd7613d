// Package buffering decides what a process may hold for its clients, within the memory and the descriptors of its machine, and which connection is
// closed first when that is too much. A gateway's buffers for long bodies and for clients that read slowly are a part of it.
package buffering
