package limits

// evenSplit gives each daemon an equal part of each limit. The burst of a part is at least 1, because a bucket
// with a smaller burst never admits a request.
type evenSplit struct {
	*simulation
	buckets [][]*Bucket // by daemon and load
}

func newEvenSplit(r *simulation) *evenSplit {
	s := &evenSplit{simulation: r}
	parts := float64(r.scenario.Daemons)
	for range r.scenario.Daemons {
		var own []*Bucket
		for _, l := range r.scenario.Loads {
			own = append(own, NewBucket(r.now, l.Bucket.Rate/parts, max(1, float64(l.Bucket.Burst)/parts)))
		}
		s.buckets = append(s.buckets, own)
	}
	return s
}

func (s *evenSplit) arrive(q *request) {
	if s.buckets[q.daemon][q.load].Take(s.now) {
		s.admit(q)
		return
	}
	s.refuse(q)
}

func (s *evenSplit) loseOwner()    {}
func (s *evenSplit) replaceOwner() {}
