// Package delta encodes a version of a document so that a receiver that has an
// earlier version needs only the difference. It knows nothing about what the
// document contains.
package delta
