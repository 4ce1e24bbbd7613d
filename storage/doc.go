// Package storage persists a member's log: checksummed records in segment files, one fsync for many appends, atomic
// snapshots, and a lock on the data directory. After a failed write or fsync it acknowledges nothing more.
package storage
