package peer

import (
	"encoding/binary"
	"net"
)

// The header of a yamux frame: version, type, flags (2 bytes), stream ID (4 bytes) and length (4 bytes).
const (
	frameHeaderBytes  = 12
	frameTypeOffset   = 1
	frameTypeData     = 0
	frameLengthOffset = 8
)

// A frameConn sends the header and the content of a data frame in one write. yamux writes them separately, which would
// take two system calls and two packets per frame. Only one goroutine may write at a time.
type frameConn struct {
	net.Conn
	heldHeader []byte
}

func newFrameConn(conn net.Conn) *frameConn {
	return &frameConn{Conn: conn}
}

// Write sends content. It holds back the header of a data frame with content until the content is written.
func (c *frameConn) Write(content []byte) (int, error) {
	if len(c.heldHeader) > 0 {
		return c.writeWithHeader(content)
	}
	if len(content) == frameHeaderBytes && content[frameTypeOffset] == frameTypeData && binary.BigEndian.Uint32(content[frameLengthOffset:]) > 0 {
		c.heldHeader = append(c.heldHeader, content...)
		return len(content), nil
	}
	return c.Conn.Write(content)
}

func (c *frameConn) writeWithHeader(content []byte) (int, error) {
	buffers := net.Buffers{c.heldHeader, content}
	headerBytes := int64(len(c.heldHeader))
	written, err := buffers.WriteTo(c.Conn)
	c.heldHeader = c.heldHeader[:0]
	return int(max(written-headerBytes, 0)), err
}
