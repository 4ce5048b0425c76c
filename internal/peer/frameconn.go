package peer

import (
	"encoding/binary"
	"net"
)

// The header of a yamux frame: version, type, flags (2 bytes), stream (4 bytes) and length (4 bytes).
const (
	frameHeaderBytes = 12
	frameTypeAt      = 1
	frameTypeData    = 0
	frameLengthAt    = 8
)

// A frameConn sends the header of a data frame together with its content: yamux writes them one after the other, which
// would cost two system calls and two packets a frame. One goroutine writes.
type frameConn struct {
	net.Conn
	header []byte
}

func newFrameConn(conn net.Conn) *frameConn {
	return &frameConn{Conn: conn}
}

// Write holds the header of a frame that has content until the content comes.
func (c *frameConn) Write(content []byte) (int, error) {
	if len(c.header) > 0 {
		return c.writeBoth(content)
	}
	if len(content) == frameHeaderBytes && content[frameTypeAt] == frameTypeData && binary.BigEndian.Uint32(content[frameLengthAt:]) > 0 {
		c.header = append(c.header, content...)
		return len(content), nil
	}
	return c.Conn.Write(content)
}

func (c *frameConn) writeBoth(content []byte) (int, error) {
	buffers := net.Buffers{c.header, content}
	held := int64(len(c.header))
	written, err := buffers.WriteTo(c.Conn)
	c.header = c.header[:0]
	return int(max(written-held, 0)), err
}
