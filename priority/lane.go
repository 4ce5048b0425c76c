package priority

// lane holds the waiting requests of one workspace within one priority.
type lane struct {
	workspace      string
	share          float64
	tag            float64 // virtual time of its next dispatch
	waiting        int
	oldest, newest *waiter
}

const minimumShare = 0.01

func (l *lane) push(w *waiter) {
	w.lane = l
	w.prev = l.newest
	if l.newest != nil {
		l.newest.next = w
	} else {
		l.oldest = w
	}
	l.newest = w
	l.waiting++
}

func (l *lane) remove(w *waiter) {
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		l.oldest = w.next
	}
	if w.next != nil {
		w.next.prev = w.prev
	} else {
		l.newest = w.prev
	}
	w.prev, w.next = nil, nil
	l.waiting--
}

// backlog weighs the waiting requests against the workspace's share.
func (l *lane) backlog() float64 {
	return float64(l.waiting) / l.share
}
