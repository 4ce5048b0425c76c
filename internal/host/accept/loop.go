package accept

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	minRetryDelay = 5 * time.Millisecond
	maxRetryDelay = time.Second
)

// Loop passes connections to serve until the listener is closed, and then returns nil. An error that may pass is passed to
// report and followed by another attempt; any other error ends the loop.
func Loop(listener net.Listener, serve func(net.Conn), report func(error)) error {
	delay := minRetryDelay
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			delay = minRetryDelay
			serve(conn)
		case errors.Is(err, net.ErrClosed):
			return nil
		case mayPass(err):
			report(err)
			time.Sleep(delay)
			delay = min(2*delay, maxRetryDelay)
		default:
			return err
		}
	}
}

// mayPass reports whether err is a lack of resources or concerns a single connection.
func mayPass(err error) bool {
	for _, passing := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}
