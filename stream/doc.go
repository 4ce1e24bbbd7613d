// Package stream knows where streams began, since they may only go on at the same
// service and software version. It does no I/O and reads no clock.
package stream
