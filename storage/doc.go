// Package storage keeps a member's log on disk: checksummed records in
// segments, one fsync for many appends, atomic snapshots, and a lock on the
// data folder. After a failed write or fsync nothing is acknowledged any more.
package storage
