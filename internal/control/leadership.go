package control

import (
	"sync"
	"time"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/limit"
)

const (
	membershipSettle = 1500 * time.Millisecond
	expirePeriod     = 200 * time.Millisecond
	pollPeriod       = 5 * time.Millisecond
	quarantinePeriod = 5 * time.Second
)

// grantHoldOff is the time after which no grant of a former leader can be spent.
var grantHoldOff = limit.HoldOff(limit.DefaultGrantDuration, limit.DefaultClockRateMargin)

// A leadership is the state that only the leader of one term has, and that is lost with it.
type leadership struct {
	term     uint64
	ownerMu  sync.Mutex
	owner    *limit.Owner
	targetMu sync.Mutex
	targets  *target.Registry
	mu       sync.Mutex
	sessions map[string]*session
	revision uint64
	ended    bool
	swept    time.Time
	woken    wokenVersions
}

func newLeadership(term uint64, now time.Time) *leadership {
	return &leadership{
		term:     term,
		owner:    limit.NewOwner(now, limit.WithOwnerStart(grantHoldOff)),
		targets:  target.NewRegistry(target.WithSettleUntil(now.Add(membershipSettle))),
		sessions: make(map[string]*session),
	}
}

// join adds a session in place of an older one of the same start of a daemon, and reports whether the term still runs.
func (l *leadership) join(s *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return false
	}
	if older := l.sessions[s.holder]; older != nil {
		older.close()
	}
	l.sessions[s.holder] = s
	return true
}

func (l *leadership) leave(s *session) {
	l.mu.Lock()
	current := l.sessions[s.holder] == s
	if current {
		delete(l.sessions, s.holder)
	}
	l.mu.Unlock()
	if !current {
		return
	}
	l.ownerMu.Lock()
	defer l.ownerMu.Unlock()
	l.owner.RemoveHolder(s.holder)
}

func (l *leadership) all() []*session {
	l.mu.Lock()
	defer l.mu.Unlock()
	sessions := make([]*session, 0, len(l.sessions))
	for _, s := range l.sessions {
		sessions = append(sessions, s)
	}
	return sessions
}

func (l *leadership) session(holder string) *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sessions[holder]
}

// end closes all sessions.
func (l *leadership) end() {
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	for _, s := range l.all() {
		s.close()
	}
}

// wake makes all sessions send what is new.
func (l *leadership) wake() {
	for _, s := range l.all() {
		s.wake()
	}
}

// A wokenVersions tells what all sessions were last woken for.
type wokenVersions struct {
	revision   uint64
	quarantine uint64
}

// hasNews reports whether sessions have something to send that they were not woken for.
func (l *leadership) hasNews(revision, quarantined uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := wokenVersions{revision: revision, quarantine: quarantined}
	if l.woken == current {
		return false
	}
	l.woken = current
	return true
}

// configure sets the buckets of a revision, where it is newer than the last.
func (l *leadership) configure(now time.Time, revision uint64, set configuration.Set) {
	l.mu.Lock()
	newer := revision > l.revision
	l.revision = max(l.revision, revision)
	l.mu.Unlock()
	if !newer {
		return
	}
	l.ownerMu.Lock()
	defer l.ownerMu.Unlock()
	l.owner.SetBuckets(now, bucketsOf(set))
}

func bucketsOf(set configuration.Set) []limit.NamedBucket {
	limits := make(map[string]configuration.Limit, len(set.Limits))
	for _, l := range set.Limits {
		limits[l.Name] = l
	}
	buckets := make([]limit.NamedBucket, 0, len(set.Workspaces))
	for _, w := range set.Workspaces {
		l := limits[w.Limit]
		buckets = append(buckets, limit.NamedBucket{
			Workspace: w.Name,
			Bucket:    limit.Bucket{Rate: l.Rate, Burst: l.Burst},
		})
	}
	return buckets
}

// poll sends the grants that were held back until tokens came, and reports whether more asks are held.
func (l *leadership) poll(now time.Time) bool {
	l.ownerMu.Lock()
	held := l.owner.Poll(now)
	_, more := l.owner.Next(now)
	l.ownerMu.Unlock()
	for _, granted := range held {
		if s := l.session(granted.Holder); s != nil {
			s.sendGrants([]limit.Grant{granted.Grant})
		}
	}
	return more
}

// expire removes targets whose announcements stopped.
func (l *leadership) expire(now time.Time) []target.Target {
	l.targetMu.Lock()
	before := l.targets.Version()
	gone := l.targets.Expire(now)
	changed := l.targets.Version() != before
	l.targetMu.Unlock()
	if changed {
		l.wake()
	}
	return gone
}

// quarantineDue reports whether the quarantine is to be expired now.
func (l *leadership) quarantineDue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.swept) < quarantinePeriod {
		return false
	}
	l.swept = now
	return true
}
