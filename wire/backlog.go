package wire

import (
	"encoding/binary"
	"net"
	"sync/atomic"
)

// Parts of a yamux header: version, type, flags, stream and length.
const (
	yamuxHeaderBytes  = 12
	yamuxTypeOffset   = 1
	yamuxLengthOffset = 8
	yamuxData         = 0
)

// backlog counts the data that has arrived in a session and that its streams have not read yet.
type backlog struct {
	memory countedConn
	bytes  atomic.Int64
}

// add counts data that has arrived, and reports whether there is room for it.
func (b *backlog) add(bytes int) bool {
	if bytes > 0 && !b.memory.Take(bytes) {
		return false
	}
	b.bytes.Add(int64(bytes))
	return true
}

// remove ends the use of data that a stream has read.
func (b *backlog) remove(bytes int) {
	if bytes > 0 {
		b.bytes.Add(-int64(bytes))
		b.memory.Return(bytes)
	}
}

// close ends the use of what is left.
func (b *backlog) close() { b.remove(int(b.bytes.Load())) }

// backlogConn counts the data of the yamux frames that are read from a connection.
type backlogConn struct {
	net.Conn
	backlog *backlog
	header  []byte
	// left is how much of the current frame's data is still to come.
	left int
}

// Read implements net.Conn. It returns ErrNoMemory if there is no room for what has arrived.
func (c *backlogConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if data := c.data(p[:n]); !c.backlog.add(data) {
		return 0, ErrNoMemory{Bytes: data}
	}
	return n, err
}

// data returns how many of the bytes that follow in a session are data.
func (c *backlogConn) data(p []byte) (total int) {
	for len(p) > 0 {
		if c.left > 0 {
			n := min(c.left, len(p))
			c.left -= n
			total += n
			p = p[n:]
			continue
		}
		n := min(yamuxHeaderBytes-len(c.header), len(p))
		c.header = append(c.header, p[:n]...)
		p = p[n:]
		if len(c.header) == yamuxHeaderBytes {
			if c.header[yamuxTypeOffset] == yamuxData {
				c.left = int(binary.BigEndian.Uint32(c.header[yamuxLengthOffset:]))
			}
			c.header = c.header[:0]
		}
	}
	return total
}
