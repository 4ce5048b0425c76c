package budget

import (
	"net/netip"
	"time"
)

// A Holder is an open connection of a client, with what it holds.
type Holder struct {
	budget  *Budget
	address netip.Addr
	giveUp  func()
	// sequence is the place in the order of arrival.
	sequence uint64
	held     [kindCount]int64
	total    int64
	closed   bool
	// idleSince is the start of the pause between two requests, or zero.
	idleSince time.Time
	// leaving is set once the last answer was sent.
	leaving bool
	// receiving is set while a request has begun to arrive and is not complete.
	receiving bool
	// running is the number of complete requests without a complete answer.
	running  int
	incoming transfer
	outgoing transfer
}

// Take adds bytes of a kind to the holdings, and reports whether the budget has room for them. Others may be given up for
// that; a client that was given up gets nothing more.
func (h *Holder) Take(now time.Time, kind Kind, bytes int64) bool {
	return h.budget.take(now, h, kind, bytes)
}

// Return takes bytes of a kind off the holdings.
func (h *Holder) Return(kind Kind, bytes int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if !h.closed {
		h.budget.add(h, kind, -bytes)
	}
}

// Close ends the holdings.
func (h *Holder) Close() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.remove(h)
}

// Idle notes that the connection is open without a request.
func (h *Holder) Idle(now time.Time) {
	h.update(func() { h.idleSince, h.receiving = now, false })
}

// Leave notes that the connection is about to close, and only waits for the client to read the last answer.
func (h *Holder) Leave() {
	h.update(func() { h.leaving = true })
}

// BeginRequest notes that a request begins to arrive.
func (h *Holder) BeginRequest() {
	h.update(func() {
		h.idleSince, h.receiving = time.Time{}, true
		h.incoming.begin()
	})
}

// Run notes that a request is complete, or with a negative count that it was answered.
func (h *Holder) Run(count int) {
	h.update(func() {
		h.running += count
		if count > 0 {
			h.idleSince, h.receiving = time.Time{}, false
		}
	})
}

// BeginAnswer notes that an answer begins to be sent.
func (h *Holder) BeginAnswer() {
	h.update(h.outgoing.begin)
}

// AwaitIncoming notes that the process waits for bytes of the client.
func (h *Holder) AwaitIncoming(now time.Time) {
	h.update(func() { h.incoming.wait(now) })
}

// Received notes the end of AwaitIncoming.
func (h *Holder) Received(now time.Time, bytes int) {
	h.update(func() { h.incoming.proceed(now, bytes) })
}

// AwaitOutgoing notes that the process waits until the client takes bytes.
func (h *Holder) AwaitOutgoing(now time.Time) {
	h.update(func() { h.outgoing.wait(now) })
}

// Sent notes the end of AwaitOutgoing.
func (h *Holder) Sent(now time.Time, bytes int) {
	h.update(func() { h.outgoing.proceed(now, bytes) })
}

func (h *Holder) update(change func()) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	change()
}

// lag returns for how long the client has kept the process waiting, and whether it does so between two requests. A client
// that waits for an answer itself has no lag.
func (h *Holder) lag(now time.Time) (lag time.Duration, idle bool) {
	if !h.idleSince.IsZero() {
		return now.Sub(h.idleSince), true
	}
	lag = h.outgoing.lag(now)
	if h.receiving && h.running == 0 {
		lag = max(lag, h.incoming.lag(now))
	}
	return lag, false
}
