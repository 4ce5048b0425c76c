package room

import (
	"cmp"
	"slices"
	"time"

	"sapphirespread.example/priority"
)

const (
	maxServices = 128
	// maxTargets is the number of targets of a service whose last reports are kept. The middle of this many estimates
	// hides that of one hot target.
	maxTargets = 8
)

// A Board holds the last reports of the targets of each service. The caller must serialize all calls with one lock.
type Board struct {
	services map[string]*service
}

// service holds the unexpired reports of one service and the middle one of them by strictness.
type service struct {
	reports    []Report
	cut        priority.Level
	turnedAway float64 // of the middle report by this share
}

// NewBoard returns a Board without reports, by which all services have room.
func NewBoard() *Board {
	return &Board{services: make(map[string]*service)}
}

// Record adds a report unless it has expired or a later one of its target is known.
func (b *Board) Record(now time.Time, r Report) {
	if !now.Before(r.Cut.ValidUntil) || r.Cut.ValidUntil.After(now.Add(Validity)) {
		return
	}
	s := b.services[r.Service]
	if s == nil {
		b.prune(now)
		if len(b.services) >= maxServices {
			return
		}
		s = &service{}
		b.services[r.Service] = s
	}
	s.record(now, r)
}

// Cut returns what the service sheds according to the middle report of its targets, or a level that has expired. The
// result is valid until the next call of Record.
func (b *Board) Cut(name string) *priority.Level {
	if s := b.services[name]; s != nil {
		return &s.cut
	}
	return &noOpinion
}

// TurnedAway returns the share of calls that the backend servers of a service turn away according to the middle report of
// its targets, or 0 if none counts at now.
func (b *Board) TurnedAway(now time.Time, name string) float64 {
	s := b.services[name]
	if s == nil || !now.Before(s.cut.ValidUntil) {
		return 0
	}
	return s.turnedAway
}

// noOpinion is the level of a service without reports.
var noOpinion priority.Level

// Latest returns the latest report of a service, and whether there is one that counts at now.
func (b *Board) Latest(now time.Time, name string) (Report, bool) {
	s := b.services[name]
	if s == nil || len(s.reports) == 0 {
		return Report{}, false
	}
	latest := s.reports[0]
	for _, r := range s.reports[1:] {
		if r.Cut.ValidUntil.After(latest.Cut.ValidUntil) {
			latest = r
		}
	}
	return latest, now.Before(latest.Cut.ValidUntil)
}

// prune removes the services without a report that counts, if there are too many services.
func (b *Board) prune(now time.Time) {
	if len(b.services) < maxServices {
		return
	}
	for name := range b.services {
		if _, counts := b.Latest(now, name); !counts {
			delete(b.services, name)
		}
	}
}

func (s *service) record(now time.Time, r Report) {
	s.reports = slices.DeleteFunc(s.reports, func(known Report) bool { return !now.Before(known.Cut.ValidUntil) })
	same := slices.IndexFunc(s.reports, func(known Report) bool { return known.Target == r.Target })
	switch {
	case same >= 0 && s.reports[same].Cut.ValidUntil.After(r.Cut.ValidUntil):
		return
	case same >= 0:
		s.reports[same] = r
	case len(s.reports) < maxTargets:
		s.reports = append(s.reports, r)
	default:
		oldest := 0
		for i := range s.reports {
			if s.reports[i].Cut.ValidUntil.Before(s.reports[oldest].Cut.ValidUntil) {
				oldest = i
			}
		}
		s.reports[oldest] = r
	}
	s.chooseMiddle(now)
}

// chooseMiddle sets the cut and the share turned away to the middle report by each. They count until the last of the
// reports expires.
func (s *service) chooseMiddle(now time.Time) {
	slices.SortFunc(s.reports, func(a, b Report) int { return cmp.Compare(a.TurnedAway, b.TurnedAway) })
	s.turnedAway = s.reports[(len(s.reports)-1)/2].TurnedAway
	slices.SortFunc(s.reports, func(a, b Report) int { return priority.CompareStrictness(now, a.Cut, b.Cut) })
	validUntil := time.Time{}
	for _, r := range s.reports {
		if r.Cut.ValidUntil.After(validUntil) {
			validUntil = r.Cut.ValidUntil
		}
	}
	s.cut = s.reports[(len(s.reports)-1)/2].Cut
	s.cut.ValidUntil = validUntil
}
