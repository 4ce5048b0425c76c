package priority

// flow is the queue of one workspace within one priority.
type flow struct {
	workspace      string
	share          float64
	startTag       float64 // virtual start time of the next dispatch
	waiting        int
	oldest, newest *waiter
}

const minShare = 0.01 // lower bound of a workspace's share

func (f *flow) push(w *waiter) {
	w.flow = f
	w.prev = f.newest
	if f.newest != nil {
		f.newest.next = w
	} else {
		f.oldest = w
	}
	f.newest = w
	f.waiting++
}

func (f *flow) remove(w *waiter) {
	if w.prev != nil {
		w.prev.next = w.next
	} else {
		f.oldest = w.next
	}
	if w.next != nil {
		w.next.prev = w.prev
	} else {
		f.newest = w.prev
	}
	w.prev, w.next = nil, nil
	f.waiting--
}

// backlog returns the number of waiting requests relative to the workspace's share.
func (f *flow) backlog() float64 {
	return float64(f.waiting) / f.share
}
