package connection

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

var (
	errHeadTooLong = errors.New("the head of the answer is too long")
	longAgo        = time.Unix(1, 0)
)

// A link is one connection.
type link struct {
	pool    *Pool
	address netip.AddrPort
	conn    net.Conn
	head    *headLimit
	reader  *bufio.Reader
	writer  *bufio.Writer
	staleAt time.Time
}

func newLink(p *Pool, address netip.AddrPort, conn net.Conn) *link {
	head := &headLimit{reader: conn}
	return &link{
		pool: p, address: address, conn: conn, head: head,
		reader: bufio.NewReaderSize(head, bufferBytes),
		writer: bufio.NewWriterSize(conn, bufferBytes),
	}
}

func (l *link) close() {
	_ = l.conn.Close()
}

// usable reports whether an idle connection is neither stale, closed, nor holds bytes that no request asked for.
func (l *link) usable(now time.Time) bool {
	if !now.Before(l.staleAt) {
		return false
	}
	raw, ok := l.conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, _, received := unix.Recvfrom(int(descriptor), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(received, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// exchange sends the request and reads the head of its answer; the end of ctx breaks the connection off.
func (l *link) exchange(ctx context.Context, e Exchange) (*http.Response, error) {
	release := context.AfterFunc(ctx, func() { _ = l.conn.SetDeadline(longAgo) })
	written := l.write(e.Request)
	response, err := l.receive(e)
	if err != nil {
		release()
		l.close()
		if writeErr := written.failure(); writeErr != nil {
			err = writeErr
		}
		return nil, err
	}
	response.Body = &body{ReadCloser: response.Body, link: l, response: response, release: release, written: written}
	return response, nil
}

// write sends the request: at once where its body is at hand, and beside the reading of the answer otherwise.
func (l *link) write(request *http.Request) *writing {
	w := &writing{done: make(chan struct{})}
	send := func() {
		defer close(w.done)
		w.err = errors.Join(request.Write(l.writer), l.writer.Flush())
	}
	if request.Body == nil || request.Body == http.NoBody || request.ContentLength > 0 && request.ContentLength <= bufferBytes {
		send()
	} else {
		go send()
	}
	return w
}

// receive reads heads until one is that of the request; answers to none are read over.
func (l *link) receive(e Exchange) (*http.Response, error) {
	for {
		l.head.left = maximumHeadBytes
		response, err := http.ReadResponse(l.reader, e.Request)
		if err != nil {
			return nil, fmt.Errorf("reading an answer: %w", err)
		}
		l.head.left = -1
		if response.StatusCode >= http.StatusOK && (e.Own == nil || e.Own(response.StatusCode, response.Header)) {
			return response, nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, fmt.Errorf("reading over an answer to another request: %w", err)
		}
	}
}

// finish keeps the connection after a whole answer where another request may follow on it.
func (l *link) finish(response *http.Response, written *writing) {
	if response.Close || l.reader.Buffered() > 0 || !written.ended() || written.failure() != nil {
		l.close()
		return
	}
	l.staleAt = time.Now().Add(idleTimeout(response.Header, l.pool.idleTimeout))
	l.pool.put(l)
}

// idleTimeout returns for how long the connection may be idle: by the Keep-Alive header, or the default.
func idleTimeout(header http.Header, otherwise time.Duration) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return min(otherwise, max(time.Duration(seconds)*time.Second-idleMargin, 0))
		}
	}
	return otherwise
}

// A writing is the sending of one request.
type writing struct {
	done chan struct{}
	err  error
}

func (w *writing) ended() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// failure returns why the sending failed, or nil where it did not or goes on.
func (w *writing) failure() error {
	if !w.ended() {
		return nil
	}
	return w.err
}

// A headLimit reads a connection, at most left bytes where left is not negative.
type headLimit struct {
	reader io.Reader
	left   int
}

func (h *headLimit) Read(buffer []byte) (int, error) {
	if h.left == 0 {
		return 0, errHeadTooLong
	}
	if h.left > 0 && len(buffer) > h.left {
		buffer = buffer[:h.left]
	}
	n, err := h.reader.Read(buffer)
	if h.left > 0 {
		h.left -= n
	}
	return n, err
}
