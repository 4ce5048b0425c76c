package budget

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// A Budget holds the bounds on what clients hold together. It is safe for concurrent use.
type Budget struct {
	limits  Limits
	mu      sync.Mutex
	holders map[*Holder]struct{}
	held    [kindCount]int64
	total   int64
	// vainUntil is the time until which no holder is searched.
	vainUntil time.Time
	// opened counts the connections, to tell those of equal lag apart.
	opened uint64
	stats  Stats
}

// New returns a budget with the given limits.
func New(limits Limits) *Budget {
	if limits.Grace == 0 {
		limits.Grace = defaultGrace
	}
	return &Budget{limits: limits, holders: make(map[*Holder]struct{})}
}

// Open adds a connection of the client at address. It returns false if there is no room for it, and nobody to give up.
// The budget calls giveUp, at most once, when the connection is to be closed.
func (b *Budget) Open(now time.Time, address netip.Addr, giveUp func()) (*Holder, bool) {
	h := &Holder{budget: b, address: address, giveUp: giveUp, receiving: true}
	b.mu.Lock()
	var givenUp []*Holder
	if b.connectionsFull() {
		givenUp = b.free(now, h, len(b.holders)+1-b.limits.Connections, 0, true)
	}
	if !b.hasRoom(Connections, ConnectionBytes) {
		givenUp = append(givenUp, b.free(now, h, 0, ConnectionBytes, false)...)
	}
	opened := !b.connectionsFull() && b.hasRoom(Connections, ConnectionBytes)
	if opened {
		b.opened++
		h.sequence = b.opened
		b.holders[h] = struct{}{}
		b.add(h, Connections, ConnectionBytes)
	} else {
		b.stats.RefusedConnections++
	}
	b.mu.Unlock()
	closeAll(givenUp)
	return h, opened
}

func (b *Budget) take(now time.Time, h *Holder, kind Kind, bytes int64) bool {
	b.mu.Lock()
	if h.closed {
		b.mu.Unlock()
		return false
	}
	var givenUp []*Holder
	if !b.hasRoom(kind, bytes) {
		givenUp = b.free(now, h, 0, bytes, false)
	}
	taken := b.hasRoom(kind, bytes)
	if taken {
		b.add(h, kind, bytes)
	} else {
		b.stats.Refused++
	}
	b.mu.Unlock()
	closeAll(givenUp)
	return taken
}

func closeAll(givenUp []*Holder) {
	for _, h := range givenUp {
		h.giveUp()
	}
}

// connectionsFull reports whether there is no room for another connection. The caller must hold b.mu.
func (b *Budget) connectionsFull() bool {
	return b.limits.Connections > 0 && len(b.holders) >= b.limits.Connections
}

// hasRoom reports whether there is room for bytes of a kind. The caller must hold b.mu.
func (b *Budget) hasRoom(kind Kind, bytes int64) bool {
	return b.limits.Bytes == 0 || b.total+bytes <= b.limitOf(kind)
}

func (b *Budget) limitOf(kind Kind) int64 {
	if kind == Bodies || kind == Answers {
		return b.limits.Bytes - b.limits.Bytes/reservePart
	}
	return b.limits.Bytes
}

func (b *Budget) add(h *Holder, kind Kind, bytes int64) {
	h.held[kind] += bytes
	h.total += bytes
	b.held[kind] += bytes
	b.total += bytes
}

func (b *Budget) remove(h *Holder) {
	if h.closed {
		return
	}
	h.closed = true
	delete(b.holders, h)
	b.total -= h.total
	for kind, bytes := range h.held {
		b.held[kind] -= bytes
	}
}

// A candidate is a holder that may be given up.
type candidate struct {
	holder *Holder
	// overShare is set for a client whose connections hold more than an equal share for each client.
	overShare bool
	leaving   bool
	// first is set for idle connections if connections are short, and for others if memory is.
	first bool
	lag   time.Duration
}

// free gives up holders other than asking until the given numbers of connections and bytes are free, with some slack.
// Those that are about to close go first, then those of clients over their share, by the time for which they have kept the
// process waiting. Connections that are waiting for an answer are never given up. The caller must hold b.mu and close the
// returned holders.
func (b *Budget) free(now time.Time, asking *Holder, connections int, bytes int64, idleFirst bool) []*Holder {
	if now.Before(b.vainUntil) {
		return nil
	}
	needed := b.total + bytes - (b.limits.Bytes - b.limits.Bytes/reservePart) + b.limits.Bytes/slackPart
	if connections > 0 {
		connections += b.limits.Connections / slackPart
		needed = 0
	}
	var givenUp []*Holder
	for _, c := range b.candidates(now, asking, idleFirst) {
		if connections <= 0 && needed <= 0 {
			break
		}
		connections--
		needed -= c.holder.total
		b.remove(c.holder)
		givenUp = append(givenUp, c.holder)
	}
	if len(givenUp) == 0 {
		b.vainUntil = now.Add(min(searchPause, b.limits.Grace/4))
	}
	b.stats.GivenUp += int64(len(givenUp))
	return givenUp
}

// candidates returns the holders that may be given up, the first one first. The caller must hold b.mu.
func (b *Budget) candidates(now time.Time, asking *Holder, idleFirst bool) []candidate {
	held := make(map[netip.Addr]int64)
	for h := range b.holders {
		held[h.address] += h.total
	}
	share := b.total / int64(max(len(held), 1))
	var found []candidate
	for h := range b.holders {
		lag, idle := h.lag(now)
		if h == asking || !h.leaving && lag < b.limits.Grace {
			continue
		}
		found = append(found, candidate{holder: h, overShare: held[h.address] > share, leaving: h.leaving, first: idle == idleFirst, lag: lag})
	}
	slices.SortFunc(found, func(a, b candidate) int {
		return cmp.Or(
			compareFlags(b.leaving, a.leaving),
			compareFlags(b.overShare, a.overShare),
			compareFlags(b.first, a.first),
			cmp.Compare(b.lag, a.lag),
			cmp.Compare(a.holder.sequence, b.holder.sequence),
		)
	})
	return found
}

func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
