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
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

var (
	errHeaderTooLarge = errors.New("the head of the answer is too long")
	errNoOwnResponse  = errors.New("too many answers to other requests")
	pastDeadline      = time.Unix(1, 0)
)

// A persistentConn is a connection to a backend server that can carry several requests, one after the other.
type persistentConn struct {
	pool        *Pool
	address     netip.AddrPort
	conn        net.Conn
	headerLimit *headerLimitReader
	reader      *bufio.Reader
	sender      *sender
	writer      *bufio.Writer
	staleAt     time.Time
	carried     [maxCarriedKeys]uint64 // hashes of the keys of the last requests
	requests    int
}

func newPersistentConn(p *Pool, address netip.AddrPort, conn net.Conn) *persistentConn {
	headerLimit := &headerLimitReader{reader: conn}
	sender := &sender{conn: conn}
	return &persistentConn{
		pool: p, address: address, conn: conn, headerLimit: headerLimit, sender: sender,
		reader: bufio.NewReaderSize(headerLimit, bufferBytes),
		writer: bufio.NewWriterSize(sender, bufferBytes),
	}
}

func (c *persistentConn) close() {
	_ = c.conn.Close()
}

// usable reports whether an idle connection can be reused. It cannot if it is stale, was closed by the backend server
// or has unread bytes, which belong to no request.
func (c *persistentConn) usable(now time.Time) bool {
	if !now.Before(c.staleAt) {
		return false
	}
	raw, ok := c.conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, recvErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(recvErr, unix.EAGAIN)
		return true
	})
	return err == nil && idle
}

// carry records the key of a request that is about to be sent.
func (c *persistentConn) carry(key string) {
	if key != "" {
		c.carried[c.requests%maxCarriedKeys] = xxhash.Sum64String(key)
		c.requests++
	}
}

// hasCarried reports whether one of the last requests had the key.
func (c *persistentConn) hasCarried(key string) bool {
	return key != "" && slices.Contains(c.carried[:min(c.requests, maxCarriedKeys)], xxhash.Sum64String(key))
}

// roundTrip sends the request and returns its response with an unread body. It interrupts the exchange when ctx is
// canceled and closes the connection on failure.
func (c *persistentConn) roundTrip(ctx context.Context, e Exchange) (*http.Response, error) {
	c.carry(e.Key)
	stop := context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(pastDeadline) })
	write := c.startWrite(e.Request)
	response, err := c.readResponse(e)
	if err != nil {
		stop()
		c.close()
		if writeErr := write.failure(); writeErr != nil {
			err = writeErr
		}
		return nil, err
	}
	response.Body = &responseBody{ReadCloser: response.Body, conn: c, response: response, stop: stop, write: write}
	return response, nil
}

// startWrite writes the request. It writes a request without a body, or with a body of up to bufferBytes, before it
// returns, and any other request concurrently with the reading of the response.
func (c *persistentConn) startWrite(request *http.Request) *requestWrite {
	w := &requestWrite{done: make(chan struct{})}
	send := func() {
		defer close(w.done)
		w.err = errors.Join(request.Write(c.writer), c.writer.Flush())
	}
	if request.Body == nil || request.Body == http.NoBody || request.ContentLength > 0 && request.ContentLength <= bufferBytes {
		send()
	} else {
		go send()
	}
	return w
}

// readResponse returns the first final response that e.BelongsToRequest accepts. It discards informational responses
// and responses to other requests, up to maxSkippedResponses with bodies of maxSkippedBytes in all: a backend server in
// trouble may send them without end.
func (c *persistentConn) readResponse(e Exchange) (*http.Response, error) {
	remaining := int64(maxSkippedBytes)
	for range maxSkippedResponses {
		c.headerLimit.remaining = maxResponseHeaderBytes
		if err := checkStatus(c.reader); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, e.Request)
		if err != nil {
			return nil, fmt.Errorf("reading an answer: %w", err)
		}
		c.headerLimit.remaining = -1
		if response.StatusCode >= http.StatusOK && (e.BelongsToRequest == nil || e.BelongsToRequest(response.StatusCode, response.Header)) {
			return response, nil
		}
		skipped, err := io.CopyN(io.Discard, response.Body, remaining)
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("reading over an answer to another request: %w", err)
		}
		if remaining -= skipped; remaining <= 0 {
			break
		}
	}
	return nil, errNoOwnResponse
}

// keepOrClose returns the connection to the pool after a complete response, or closes it if it cannot carry another
// request.
func (c *persistentConn) keepOrClose(response *http.Response, write *requestWrite) {
	if response.Close || c.reader.Buffered() > 0 || !write.completed() || write.failure() != nil {
		c.close()
		return
	}
	c.staleAt = time.Now().Add(idleTimeout(response.Header, c.pool.idleTimeout))
	c.pool.putIdle(c)
}

// idleTimeout returns how long the connection may stay idle: the timeout of the Keep-Alive header less a margin, and at
// most defaultTimeout.
func idleTimeout(header http.Header, defaultTimeout time.Duration) time.Duration {
	for parameter := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(value)
		if strings.EqualFold(name, "timeout") && err == nil {
			return min(defaultTimeout, max(time.Duration(seconds)*time.Second-idleTimeoutMargin, 0))
		}
	}
	return defaultTimeout
}

// A requestWrite is the state of writing a request. Its err is set when done is closed.
type requestWrite struct {
	done chan struct{}
	err  error
}

func (w *requestWrite) completed() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// failure returns the error of a failed write, or nil if the write succeeded or is still in progress.
func (w *requestWrite) failure() error {
	if !w.completed() {
		return nil
	}
	return w.err
}

// A headerLimitReader reads from a connection and limits the size of a response header. It returns errHeaderTooLarge
// after remaining bytes, or imposes no limit if remaining is negative.
type headerLimitReader struct {
	reader    io.Reader
	remaining int
}

func (r *headerLimitReader) Read(buffer []byte) (int, error) {
	if r.remaining == 0 {
		return 0, errHeaderTooLarge
	}
	if r.remaining > 0 && len(buffer) > r.remaining {
		buffer = buffer[:r.remaining]
	}
	n, err := r.reader.Read(buffer)
	if r.remaining > 0 {
		r.remaining -= n
	}
	return n, err
}
