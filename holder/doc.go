// Package holder gives model endpoints their orders. Each endpoint has one holder
// at a time, a steward that the replicated log names; Table decides which, Holder
// keeps track of one endpoint and orders on the word of the leading steward or of
// a gateway that waits for an adapter.
package holder
