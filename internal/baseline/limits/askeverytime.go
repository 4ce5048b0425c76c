package limits

// askEveryTime asks the owner's exact bucket once for each request. A new owner starts with empty buckets.
type askEveryTime struct {
	*runner
	owned []*Bucket
	up    bool
}

func newAskEveryTime(r *runner) *askEveryTime {
	s := &askEveryTime{runner: r, up: true}
	for _, l := range r.scenario.Loads {
		s.owned = append(s.owned, NewBucket(r.now, l.Bucket.Rate, float64(l.Bucket.Burst)))
	}
	return s
}

func (s *askEveryTime) arrive(q *request) {
	s.after(s.scenario.Patience, func() { s.refuse(q) })
	s.send(func() {
		if !s.up {
			return
		}
		taken := s.owned[q.load].Take(s.now)
		s.send(func() { s.answer(q, taken) })
	})
}

func (s *askEveryTime) answer(q *request, taken bool) {
	if !taken {
		s.refuse(q)
		return
	}
	s.admit(q)
}

func (s *askEveryTime) loseOwner() { s.up = false }

func (s *askEveryTime) replaceOwner() {
	s.up = true
	for i, l := range s.scenario.Loads {
		s.owned[i] = NewBucket(s.now, l.Bucket.Rate, float64(l.Bucket.Burst))
		s.owned[i].level = 0
	}
}
