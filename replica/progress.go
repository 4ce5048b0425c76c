package replica

import "time"

// progress is what the leader knows of one other member.
type progress struct {
	match uint64
	next  uint64
	// probing sends one append at a time until one matches.
	probing bool
	paused  bool
	// inFlight holds the last index of each append that is not answered.
	inFlight []uint64
	// transfer is the snapshot being sent; nil for none.
	transfer *transfer
	heardAt  time.Time
	// leaseAt is when the newest round that the member answered was sent.
	leaseAt time.Time
}

// transfer is a snapshot on its way to a member.
type transfer struct {
	snapshot Snapshot
	offset   uint64
	waiting  bool
}

func newProgress(now time.Time, next uint64) *progress {
	return &progress{next: next, probing: true, heardAt: now}
}

func (p *progress) probe() {
	p.probing = true
	p.paused = false
	p.inFlight = nil
	p.next = p.match + 1
}

// matched takes an answer and reports whether it was news.
func (p *progress) matched(index uint64) bool {
	news := index > p.match
	p.match = max(p.match, index)
	p.next = max(p.next, p.match+1)
	p.probing = false
	p.paused = false
	for len(p.inFlight) > 0 && p.inFlight[0] <= index {
		p.inFlight = p.inFlight[1:]
	}
	return news
}

// rejected takes a rejection and reports whether it is not outdated.
func (p *progress) rejected(index, hint uint64) bool {
	if index <= p.match || p.transfer != nil {
		return false
	}
	if p.probing && index != p.next-1 {
		return false
	}
	if !p.probing {
		p.probe()
		return true
	}
	p.next = max(p.match+1, min(index, hint+1))
	p.paused = false
	return true
}

func (p *progress) full() bool {
	return p.paused || len(p.inFlight) >= maxInFlightAppends
}
