// Package wire carries frames between the system's own processes: yamux
// sessions over TCP, one stream a call, length-delimited protobuf frames.
package wire
