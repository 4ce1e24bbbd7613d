// Package quorum runs a member of the replicated log: it connects the core of package consensus to the disk through
// package storage and to the other members through package wire.
package quorum
