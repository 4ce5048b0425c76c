package accept_test

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	"sapphirespread.example/internal/host/accept"
)

// scriptedListener fails with the given errors, one after another.
type scriptedListener struct {
	net.Listener
	errs []error
}

func (l *scriptedListener) Accept() (net.Conn, error) {
	err := l.errs[0]
	l.errs = l.errs[1:]
	if err != nil {
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept", err)}
	}
	return nil, nil
}

// TestLoopOutlastsALackOfDescriptors checks that a lack of descriptors neither ends the loop nor loses later connections.
// A process whose loop ended went down as a whole.
func TestLoopOutlastsALackOfDescriptors(t *testing.T) {
	listener := &scriptedListener{errs: []error{syscall.EMFILE, syscall.ENFILE, nil, syscall.ECONNABORTED, nil, net.ErrClosed}}
	served, reported := 0, 0
	err := accept.Loop(listener, func(net.Conn) { served++ }, func(error) { reported++ })
	if err != nil || served != 2 || reported != 3 {
		t.Errorf("served %d, reported %d, %v; want 2, 3 and no error", served, reported, err)
	}
	listener = &scriptedListener{errs: []error{syscall.EBADF}}
	if err := accept.Loop(listener, func(net.Conn) {}, func(error) {}); !errors.Is(err, syscall.EBADF) {
		t.Errorf("got %v, want a final error", err)
	}
}
