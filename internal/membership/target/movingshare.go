package target

import (
	"sync/atomic"
	"time"
)

// movingShare is the share of answers that were of one kind, which fades with the time since the last such one.
// Any number may read it while one writes.
type movingShare struct {
	millionths atomic.Int64
	seenAt     atomic.Int64
}

func (s *movingShare) observe(at int64, seen bool) {
	share := float64(s.millionths.Load()) * (1 - answerWeight)
	if seen {
		share += answerWeight * millionths
		s.seenAt.Store(at)
	}
	s.millionths.Store(int64(share))
}

// share returns the share over all answers.
func (s *movingShare) share() float64 {
	return float64(s.millionths.Load()) / millionths
}

// within returns the share, or 0 where the last such answer is longer ago than memory.
func (s *movingShare) within(at int64, memory time.Duration) float64 {
	if at-s.seenAt.Load() > int64(memory) {
		return 0
	}
	return s.share()
}

// fading returns the share, halved once the last such answer is memory ago.
func (s *movingShare) fading(at int64, memory time.Duration) float64 {
	age := float64(max(at-s.seenAt.Load(), 0)) / float64(memory)
	return s.share() / (1 + age)
}

func (s *movingShare) reset() {
	s.millionths.Store(0)
}
