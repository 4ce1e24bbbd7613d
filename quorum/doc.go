// Package quorum carries the replicated log: it joins the pure core of package
// consensus with the disk of package storage and the streams of package wire.
package quorum
