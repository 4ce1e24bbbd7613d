// Package wire is the transport of internal calls: yamux sessions over TCP with
// one stream per call, on which length-delimited protobuf frames are exchanged.
package wire
