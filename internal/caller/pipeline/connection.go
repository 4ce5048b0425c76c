package pipeline

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"sync"
	"time"
)

// A connection is a caller's connection with its unanswered requests.
type connection struct {
	server   *Server
	conn     *meteredConn
	recorder *headRecorder
	reader   *bufio.Reader
	writer   *bufio.Writer
	ctx      context.Context
	cancel   context.CancelFunc
	// changed is signaled when an exchange has ended or the connection closes.
	changed *sync.Cond
	mu      sync.Mutex
	// exchanges holds the unanswered requests in the order of their arrival.
	exchanges []*exchange
	// readingHead is set from the first byte of a request, or from the start of the connection, to the end of its head.
	readingHead bool
	// closing is set once no further request is passed on.
	closing bool
	closed  bool
	// received is set once a byte has arrived.
	received bool
}

func newConnection(s *Server, conn net.Conn) *connection {
	metered := &meteredConn{Conn: conn, stallTimeout: s.stallTimeout}
	c := &connection{server: s, conn: metered, readingHead: true}
	c.changed = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// open takes the connection's part of the budget and its buffers. It returns false if there is no room.
func (c *connection) open() bool {
	address, _ := netip.ParseAddrPort(c.conn.RemoteAddr().String())
	holder, opened := c.server.budget.Open(time.Now(), address.Addr(), c.giveUp)
	if !opened {
		return false
	}
	c.conn.holder = holder
	c.recorder = &headRecorder{reader: c.conn, limit: c.server.maxHeaderBytes}
	c.reader = bufio.NewReaderSize(c.recorder, bufferBytes)
	c.writer = bufio.NewWriterSize(c.conn, bufferBytes)
	return true
}

// giveUp closes the connection to make room for others.
func (c *connection) giveUp() {
	c.abort()
	c.server.logShortage()
}

// serve reads requests until the caller or the server ends the connection, and returns when all handlers have ended.
func (c *connection) serve() {
	_ = c.conn.SetReadDeadline(time.Now().Add(c.server.readHeaderTimeout))
	for c.serveNext() {
	}
	c.awaitExchanges()
	c.linger()
	c.abort()
}

// serveNext reads one request and starts its exchange. It returns false if no further request is to be read.
func (c *connection) serveNext() bool {
	if _, err := c.reader.Peek(1); err != nil {
		c.endReading(err)
		return false
	}
	c.beginHead()
	held := &holdings{holder: c.conn.holder}
	request, status, err := c.readHead(held)
	if err != nil {
		held.end()
		c.endReading(err)
		return false
	}
	x := newExchange(c, request, held)
	if status == 0 && !held.takeRequest(request, c.server.maxBodyBytes) {
		status = http.StatusServiceUnavailable
	}
	if status != 0 {
		x.refuse(status)
		c.start(x, false)
		return false
	}
	if !c.start(x, c.mayRunConcurrently(request)) {
		return false
	}
	// The next request follows the body.
	if !x.body.await() || request.Close || !request.ProtoAtLeast(1, 1) {
		c.watch()
		return false
	}
	return true
}

// beginHead notes that a request has begun to arrive.
func (c *connection) beginHead() {
	c.mu.Lock()
	c.readingHead, c.received = true, true
	c.mu.Unlock()
	c.conn.holder.BeginRequest()
	_ = c.conn.SetReadDeadline(time.Now().Add(c.server.readHeaderTimeout))
}

// readHead reads the head of a request, for which it takes its part of the budget. The status is that of a refusal of the request, or 0. An error means that nothing
// can be answered.
func (c *connection) readHead(held *holdings) (*http.Request, int, error) {
	for range 2 {
		// Some callers send an empty line after a body.
		if next, err := c.reader.Peek(1); err != nil || next[0] != '\r' && next[0] != '\n' {
			break
		}
		_, _ = c.reader.Discard(1)
	}
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	c.recorder.begin(buffered, held)
	request, err := http.ReadRequest(c.reader)
	head := c.recorder.end(c.reader.Buffered())
	_ = c.conn.SetReadDeadline(time.Time{})
	switch {
	case c.recorder.noRoom:
		return emptyRequest(), http.StatusServiceUnavailable, nil
	case err == nil:
		return request, checkHead(request, head), nil
	case isEnd(err):
		return nil, 0, err
	default:
		return emptyRequest(), statusOf(err), nil
	}
}

// emptyRequest stands for a request that could not be read.
func emptyRequest() *http.Request {
	return &http.Request{ProtoMajor: 1, ProtoMinor: 1, URL: &url.URL{}, Header: http.Header{}, Body: http.NoBody, Close: true}
}

// isEnd reports whether err is the end of the connection rather than a malformed request.
func isEnd(err error) bool {
	var netError net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &netError)
}

// mayRunConcurrently reports whether a request may run beside others. A body would keep the requests behind it unread.
func (c *connection) mayRunConcurrently(request *http.Request) bool {
	return request.ContentLength == 0 && c.server.mayRunConcurrently(request)
}

// start runs an exchange once the requests before it allow that. It returns false if the connection closes before.
func (c *connection) start(x *exchange, concurrent bool) bool {
	x.concurrent = concurrent
	c.mu.Lock()
	for !c.closing && c.mustWait(x) {
		c.changed.Wait()
	}
	c.readingHead = false
	if c.closing {
		c.mu.Unlock()
		return false
	}
	if len(c.exchanges) == 0 {
		close(x.turn)
	}
	c.exchanges = append(c.exchanges, x)
	c.mu.Unlock()
	go x.run()
	return true
}

// mustWait reports whether x has to wait for other exchanges to end. The caller must hold c.mu.
func (c *connection) mustWait(x *exchange) bool {
	if len(c.exchanges) == 0 {
		return false
	}
	exclusive := slices.ContainsFunc(c.exchanges, func(other *exchange) bool { return !other.concurrent })
	return exclusive || !x.concurrent || len(c.exchanges) >= c.server.maxConcurrent
}

// finish removes an answered exchange and gives the turn to the next one. If the connection closes after the answer, no
// further request is passed on.
func (c *connection) finish(x *exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.endHoldings()
	c.exchanges = slices.DeleteFunc(c.exchanges, func(other *exchange) bool { return other == x })
	if x.closesConnection {
		c.closing = true
		_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		c.conn.holder.Leave()
	}
	if len(c.exchanges) > 0 {
		close(c.exchanges[0].turn)
	} else if !c.closing && !c.readingHead {
		_ = c.conn.SetReadDeadline(time.Now().Add(c.idleTime()))
		c.conn.holder.Idle(time.Now())
	}
	c.changed.Broadcast()
}

// idleTime returns how long the connection may wait for the next request.
func (c *connection) idleTime() time.Duration {
	if c.server.isStopping() {
		return 0
	}
	return c.server.idleTimeout
}

// decideClose returns whether the connection closes after the answer of x, which is about to be sent. Requests behind x
// that were passed on already get their answers first.
func (c *connection) decideClose(wanted bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if wanted {
		c.closing = true
		c.changed.Broadcast()
	}
	return c.closing && len(c.exchanges) == 1
}

// endReading ends the connection after a failed read. A caller that has left cancels all its requests.
func (c *connection) endReading(err error) {
	c.mu.Lock()
	c.readingHead = false
	wasClosing := c.closing
	c.closing = true
	c.changed.Broadcast()
	c.mu.Unlock()
	if !wasClosing || !errors.Is(err, os.ErrDeadlineExceeded) {
		c.cancel()
	}
}

// watch waits for the end of the connection while its last requests are answered.
func (c *connection) watch() {
	c.mu.Lock()
	c.closing = true
	c.changed.Broadcast()
	c.mu.Unlock()
	go func() {
		if _, err := c.reader.Peek(1); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
		}
	}()
}

func (c *connection) awaitExchanges() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.exchanges) > 0 {
		c.changed.Wait()
	}
}

// linger lets the caller read the last answer: closing a connection with unread bytes resets it.
func (c *connection) linger() {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	c.conn.holder.Leave()
	if closed || c.ctx.Err() != nil || c.conn.CloseWrite() != nil {
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.conn, maxDiscardedBytes)
}

// abort closes the connection and cancels its requests.
func (c *connection) abort() {
	c.mu.Lock()
	c.closing, c.closed = true, true
	c.changed.Broadcast()
	c.mu.Unlock()
	c.cancel()
	_ = c.conn.Close()
	c.conn.holder.Close()
}

// stop closes the connection if it is idle. The server is stopping, so that the answer to any request in progress, or to
// one that is just arriving, closes it otherwise.
func (c *connection) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.exchanges) == 0 && (!c.readingHead || !c.received) {
		_ = c.conn.SetReadDeadline(time.Now())
	}
}

// busy reports whether a request is in progress or has begun to arrive, or the first one has not arrived yet.
func (c *connection) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.exchanges) > 0 || c.readingHead
}
