package limits

// centralBucket queries the owner's exact bucket once for each request. A new owner starts with empty buckets.
type centralBucket struct {
	*simulation
	ownerBuckets []*Bucket
	ownerUp      bool
}

func newCentralBucket(r *simulation) *centralBucket {
	s := &centralBucket{simulation: r, ownerUp: true}
	for _, l := range r.scenario.Loads {
		s.ownerBuckets = append(s.ownerBuckets, NewBucket(r.now, l.Bucket.Rate, float64(l.Bucket.Burst)))
	}
	return s
}

func (s *centralBucket) arrive(q *request) {
	s.after(s.scenario.QueueTimeout, func() { s.refuse(q) })
	s.send(func() {
		if !s.ownerUp {
			return
		}
		taken := s.ownerBuckets[q.load].Take(s.now)
		s.send(func() { s.answer(q, taken) })
	})
}

func (s *centralBucket) answer(q *request, taken bool) {
	if !taken {
		s.refuse(q)
		return
	}
	s.admit(q)
}

func (s *centralBucket) loseOwner() { s.ownerUp = false }

func (s *centralBucket) replaceOwner() {
	s.ownerUp = true
	for i, l := range s.scenario.Loads {
		s.ownerBuckets[i] = NewBucket(s.now, l.Bucket.Rate, float64(l.Bucket.Burst))
		s.ownerBuckets[i].level = 0
	}
}
