package pipeline

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http/httpguts"
)

// headerNewlines replaces line ends in the values of trailers.
var headerNewlines = strings.NewReplacer("\n", " ", "\r", " ")

// arrivalKey is the context key of the time at which a request arrived.
type arrivalKey struct{}

// ArrivedAt returns the time at which the request of a context of this package arrived, or now for another context. A
// request may have waited for others of its connection since then.
func ArrivedAt(ctx context.Context) time.Time {
	if at, ok := ctx.Value(arrivalKey{}).(time.Time); ok {
		return at
	}
	return time.Now()
}

// An exchange is one request with its answer, and the http.ResponseWriter of its handler. An answer is kept until the
// answers before it are sent; a handler that writes more than maxWaitingBytes waits for that.
type exchange struct {
	connection *connection
	request    *http.Request
	body       *body
	cancel     context.CancelFunc
	concurrent bool
	// turn is closed when all earlier requests are answered.
	turn chan struct{}

	mu               sync.Mutex
	header           http.Header
	status           int
	waiting          []byte // what was written before the header was sent
	declared         int64  // length of the answer, or -1
	written          int64
	headerSent       bool
	chunked          bool
	fullDuplex       bool
	trailers         []string
	closesConnection bool
	holdings         *holdings
	// noRoom is set if the request is refused because the budget has no room for it.
	noRoom bool
	// deadlineSet is set once the handler limits the reading of the body itself.
	deadlineSet atomic.Bool
}

func newExchange(c *connection, request *http.Request, held *holdings) *exchange {
	x := &exchange{connection: c, turn: make(chan struct{}), header: make(http.Header), declared: -1, holdings: held}
	ctx, cancel := context.WithCancel(context.WithValue(c.ctx, arrivalKey{}, time.Now()))
	x.cancel = cancel
	empty := request.ContentLength == 0
	x.body = newBody(x, request.Body, empty, expectsContinue(request))
	request.RemoteAddr = c.conn.RemoteAddr().String()
	request = request.WithContext(ctx)
	if !empty {
		request.Body = x.body
	}
	x.request = request
	return x
}

// refuse makes the answer a refusal of a request that could not be read.
func (x *exchange) refuse(status int) {
	x.request.Close = true
	if status == http.StatusServiceUnavailable {
		// The body is left unread.
		x.fullDuplex = true
		x.noRoom = true
		return
	}
	x.header.Set("Content-Type", "text/plain; charset=utf-8")
	x.status = status
	x.waiting = fmt.Appendf(nil, "%d %s\n", status, http.StatusText(status))
	x.written = int64(len(x.waiting))
	x.body.finish()
}

// run calls the handler and completes the answer.
func (x *exchange) run() {
	defer x.connection.finish(x)
	defer x.cancel()
	defer x.body.end()
	if !x.serve() || x.complete() != nil {
		// The earlier answers are sent before the connection breaks off.
		<-x.turn
		if x.endsWithConnection() {
			x.connection.conn.resetOnClose()
		}
		x.connection.abort()
	}
}

// endsWithConnection reports whether the end of the connection is the only sign of the end of the answer, of which a part
// was sent.
func (x *exchange) endsWithConnection() bool {
	return x.headerSent && !x.chunked && x.declared < 0
}

// serve calls the handler, unless the request was refused, and reports whether it returned normally.
func (x *exchange) serve() (ok bool) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		ok = false
		if cause != http.ErrAbortHandler {
			x.connection.server.logger.Error().Any("panic", cause).Bytes("stack", debug.Stack()).Msg("callers: the handler of a request failed")
		}
	}()
	switch {
	case x.noRoom:
		x.connection.server.refuse(x, x.request)
		x.connection.server.logShortage()
	case x.status == 0:
		x.connection.server.handler.ServeHTTP(x, x.request)
	}
	return true
}

// Header returns the header of the answer.
func (x *exchange) Header() http.Header { return x.header }

// WriteHeader sets the status of the answer. Later calls have no effect.
func (x *exchange) WriteHeader(status int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.setStatus(status)
}

func (x *exchange) setStatus(status int) {
	if x.status != 0 || status < http.StatusOK {
		return
	}
	x.status = status
	x.trailers = x.header.Values("Trailer")
	if length, err := strconv.ParseInt(x.header.Get("Content-Length"), 10, 64); err == nil && length >= 0 {
		x.declared = length
	}
}

// Write writes a part of the answer's body.
func (x *exchange) Write(part []byte) (int, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.setStatus(http.StatusOK)
	switch {
	case x.request.Method == http.MethodHead:
		return len(part), nil
	case !bodyAllowed(x.status):
		return 0, http.ErrBodyNotAllowed
	case x.declared >= 0 && x.written+int64(len(part)) > x.declared:
		return 0, http.ErrContentLength
	}
	x.written += int64(len(part))
	if !x.headerSent {
		if len(x.waiting)+len(part) <= x.waitingLimit() && x.holdings.takeAnswer(len(part)) {
			x.waiting = append(x.waiting, part...)
			return len(part), nil
		}
		if err := x.sendHeader(false); err != nil {
			return 0, err
		}
	}
	return len(part), x.send(part)
}

// waitingLimit returns how many bytes may wait for the header to be sent.
func (x *exchange) waitingLimit() int {
	select {
	case <-x.turn:
		return bufferBytes
	default:
		return maxWaitingBytes
	}
}

// FlushError sends what was written, once the answers before are sent.
func (x *exchange) FlushError() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.setStatus(http.StatusOK)
	if !x.headerSent {
		if err := x.sendHeader(false); err != nil {
			return err
		}
	}
	return x.connection.writer.Flush()
}

// Discard drops what was written if nothing of it was sent, and reports whether it did. The handler can then answer anew.
func (x *exchange) Discard() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.headerSent {
		return false
	}
	closes, hasCloses := x.header["Connection"]
	clear(x.header)
	if hasCloses {
		x.header["Connection"] = closes
	}
	x.status, x.waiting, x.trailers = 0, nil, nil
	x.declared, x.written = -1, 0
	return true
}

// EnableFullDuplex lets the handler read the body after it has begun to answer.
func (x *exchange) EnableFullDuplex() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.fullDuplex = true
	return nil
}

// limitWait limits the wait for the next part of the body, unless the handler does.
func (x *exchange) limitWait() {
	if timeout := x.connection.server.stallTimeout; timeout > 0 && !x.deadlineSet.Load() {
		_ = x.connection.conn.SetReadDeadline(time.Now().Add(timeout))
	}
}

// endHoldings returns what the exchange held of the budget.
func (x *exchange) endHoldings() {
	if x.body.complete.Load() {
		x.connection.conn.holder.Run(-1)
	}
	x.holdings.end()
}

// SetReadDeadline sets the deadline for reading the rest of the body.
func (x *exchange) SetReadDeadline(deadline time.Time) error {
	x.deadlineSet.Store(true)
	if x.body.complete.Load() {
		return nil
	}
	return x.connection.conn.SetReadDeadline(deadline)
}

// sendContinue asks the caller for the body. An answer that has begun replaces the request for it.
func (x *exchange) sendContinue() error {
	<-x.turn
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.headerSent {
		return nil
	}
	if _, err := io.WriteString(x.connection.writer, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return x.connection.writer.Flush()
}

// sendHeader sends the header and the waiting bytes when it is the turn of the exchange. If the answer is complete, its
// length is known.
func (x *exchange) sendHeader(complete bool) error {
	<-x.turn
	x.connection.conn.holder.BeginAnswer()
	x.headerSent = true
	hasBody := bodyAllowed(x.status)
	if complete && x.declared < 0 && len(x.trailers) == 0 && hasBody && x.request.Method != http.MethodHead {
		x.declared = int64(len(x.waiting))
	}
	closes := x.request.Close || !x.request.ProtoAtLeast(1, 1) || httpguts.HeaderValuesContainsToken(x.header["Connection"], "close") || x.connection.server.isStopping()
	if !x.bodyCanBeSkipped() {
		closes = true
	}
	x.chunked = hasBody && x.declared < 0 && x.request.ProtoAtLeast(1, 1) && x.request.Method != http.MethodHead
	if hasBody && x.declared < 0 && !x.chunked && x.request.Method != http.MethodHead {
		closes = true
	}
	x.closesConnection = x.connection.decideClose(closes)
	w := x.connection.writer
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %03d %s\r\n", x.status, http.StatusText(x.status))
	for _, name := range []string{"Connection", "Transfer-Encoding", "Content-Length"} {
		delete(x.header, name)
	}
	if _, given := x.header["Date"]; !given {
		_, _ = fmt.Fprintf(w, "Date: %s\r\n", time.Now().UTC().Format(http.TimeFormat))
	}
	_ = x.header.Write(w)
	switch {
	case x.chunked:
		_, _ = io.WriteString(w, "Transfer-Encoding: chunked\r\n")
	case x.declared >= 0 && hasBody:
		_, _ = fmt.Fprintf(w, "Content-Length: %d\r\n", x.declared)
	}
	if x.closesConnection {
		_, _ = io.WriteString(w, "Connection: close\r\n")
	}
	if _, err := io.WriteString(w, "\r\n"); err != nil {
		return err
	}
	waiting := x.waiting
	x.waiting = nil
	return x.send(waiting)
}

// bodyCanBeSkipped reports whether the next request can be read after the answer. The rest of a short body is read over
// first, unless the handler may still read it.
func (x *exchange) bodyCanBeSkipped() bool {
	if x.fullDuplex || x.body.complete.Load() {
		return x.body.complete.Load()
	}
	// A caller that stalls gets its answer without delay and has to connect again. Nothing else is read meanwhile, since the
	// next request follows the body.
	_ = x.connection.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	if !x.body.skip(maxDiscardedBytes) {
		return false
	}
	_ = x.connection.conn.SetReadDeadline(time.Time{})
	return true
}

// send writes a part of the body with its framing.
func (x *exchange) send(part []byte) error {
	if len(part) == 0 {
		return nil
	}
	w := x.connection.writer
	if !x.chunked {
		_, err := w.Write(part)
		return err
	}
	_, _ = fmt.Fprintf(w, "%x\r\n", len(part))
	_, _ = w.Write(part)
	_, err := io.WriteString(w, "\r\n")
	return err
}

// complete sends what is left of the answer.
func (x *exchange) complete() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.setStatus(http.StatusOK)
	if !x.headerSent {
		if err := x.sendHeader(true); err != nil {
			return err
		}
	}
	if x.written < x.declared && bodyAllowed(x.status) && x.request.Method != http.MethodHead {
		return io.ErrUnexpectedEOF
	}
	if x.chunked {
		_, _ = io.WriteString(x.connection.writer, "0\r\n")
		x.writeTrailers()
		_, _ = io.WriteString(x.connection.writer, "\r\n")
	}
	return x.connection.writer.Flush()
}

func (x *exchange) writeTrailers() {
	for _, name := range x.trailers {
		for _, value := range x.header.Values(name) {
			_, _ = fmt.Fprintf(x.connection.writer, "%s: %s\r\n", http.CanonicalHeaderKey(name), headerNewlines.Replace(value))
		}
	}
}

// bodyAllowed reports whether an answer of the given status may have a body.
func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}
