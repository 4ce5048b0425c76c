package target

import (
	"sync/atomic"
	"time"
)

// movingShare is the moving average of the share of answers that are of one kind. It allows one writer and any number
// of concurrent readers.
type movingShare struct {
	millionths atomic.Int64
	lastMatch  atomic.Int64
}

func (s *movingShare) observe(at int64, match bool) {
	share := float64(s.millionths.Load()) * (1 - answerWeight)
	if match {
		share += answerWeight * millionths
		s.lastMatch.Store(at)
	}
	s.millionths.Store(int64(share))
}

// share returns the share whatever the age of the last matching answer.
func (s *movingShare) share() float64 {
	return float64(s.millionths.Load()) / millionths
}

// recentShare returns the share, or 0 if the last matching answer is older than window.
func (s *movingShare) recentShare(at int64, window time.Duration) float64 {
	if at-s.lastMatch.Load() > int64(window) {
		return 0
	}
	return s.share()
}

// decayedShare returns the share divided by 1 + age/halfLife, where age is the time since the last matching answer.
func (s *movingShare) decayedShare(at int64, halfLife time.Duration) float64 {
	age := float64(max(at-s.lastMatch.Load(), 0)) / float64(halfLife)
	return s.share() / (1 + age)
}

func (s *movingShare) reset() {
	s.millionths.Store(0)
}
