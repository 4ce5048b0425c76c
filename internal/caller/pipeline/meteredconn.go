package pipeline

import (
	"errors"
	"math"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"sapphirespread.example/internal/host/budget"
)

// A meteredConn tells the budget when the connection waits for its client, and ends a write that makes no progress.
type meteredConn struct {
	net.Conn
	holder       *budget.Holder
	stallTimeout time.Duration // 0 for none
}

func (c *meteredConn) Read(buffer []byte) (int, error) {
	c.holder.AwaitIncoming(time.Now())
	n, err := c.Conn.Read(buffer)
	c.holder.Received(time.Now(), n)
	return n, err
}

// Write fails if the client takes nothing for stallTimeout.
func (c *meteredConn) Write(part []byte) (written int, err error) {
	for unread := math.MaxInt; ; {
		now := time.Now()
		if c.stallTimeout > 0 {
			_ = c.SetWriteDeadline(now.Add(c.stallTimeout / 2))
		}
		c.holder.AwaitOutgoing(now)
		n, err := c.Conn.Write(part[written:])
		c.holder.Sent(time.Now(), n)
		written += n
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		// The system reports room for further bytes only once a large part of its buffer has been taken.
		before := unread
		if unread = c.unread(); n == 0 && unread >= before {
			return written, err
		}
	}
}

// unread returns the number of bytes that were written and that the client hasn't taken yet.
func (c *meteredConn) unread() int {
	conn, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return 0
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	unread := 0
	_ = raw.Control(func(descriptor uintptr) {
		unread, _ = unix.IoctlGetInt(int(descriptor), unix.TIOCOUTQ)
	})
	return unread
}

// CloseWrite ends the answers, if the connection can be closed one way.
func (c *meteredConn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errors.ErrUnsupported
	}
	return half.CloseWrite()
}

// resetOnClose makes the connection end with a reset, if it can, so that its end is not that of an answer.
func (c *meteredConn) resetOnClose() {
	if conn, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = conn.SetLinger(0)
	}
}
