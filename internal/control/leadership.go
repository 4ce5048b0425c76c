package control

import (
	"sync"
	"time"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/limit"
)

const (
	membershipSettlePeriod = 1500 * time.Millisecond
	expirePeriod           = 200 * time.Millisecond
	pollPeriod             = 5 * time.Millisecond
	quarantinePeriod       = 5 * time.Second
	pressedPeriod          = 100 * time.Millisecond
)

// grantHoldOff is how long a new leader waits before it grants tokens, so that no grant of an earlier leader
// can still be spent.
var grantHoldOff = limit.HoldOff(limit.DefaultGrantDuration, limit.DefaultClockRateMargin)

// A leadership holds the leader's state for one term. It is not replicated and is lost when the term ends.
type leadership struct {
	term                 uint64
	ownerMu              sync.Mutex
	owner                *limit.Owner
	pressed              []string
	pressedAt            time.Time
	targetMu             sync.Mutex
	targets              *target.Registry
	mu                   sync.Mutex
	sessions             map[string]*session
	revision             uint64
	ended                bool
	lastQuarantineExpiry time.Time
	notified             notifiedVersions
}

func newLeadership(term uint64, now time.Time) *leadership {
	return &leadership{
		term:     term,
		owner:    limit.NewOwner(now, limit.WithOwnerStart(grantHoldOff)),
		targets:  target.NewRegistry(target.WithSettleUntil(now.Add(membershipSettlePeriod))),
		sessions: make(map[string]*session),
	}
}

// addSession adds a session, replacing an earlier one of the same daemon incarnation. It returns false if the
// leadership has ended.
func (l *leadership) addSession(s *session) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return false
	}
	if previous := l.sessions[s.holder]; previous != nil {
		previous.close()
	}
	l.sessions[s.holder] = s
	return true
}

// removeSession removes a session and its token holder, unless a newer session has replaced it.
func (l *leadership) removeSession(s *session) {
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

func (l *leadership) allSessions() []*session {
	l.mu.Lock()
	defer l.mu.Unlock()
	sessions := make([]*session, 0, len(l.sessions))
	for _, s := range l.sessions {
		sessions = append(sessions, s)
	}
	return sessions
}

func (l *leadership) sessionOf(holder string) *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sessions[holder]
}

// close ends the leadership and closes all sessions.
func (l *leadership) close() {
	l.mu.Lock()
	l.ended = true
	l.mu.Unlock()
	for _, s := range l.allSessions() {
		s.close()
	}
}

// wakeSessions makes all sessions send pending updates to their daemons.
func (l *leadership) wakeSessions() {
	for _, s := range l.allSessions() {
		s.wake()
	}
}

// A notifiedVersions holds the versions for which all sessions were last woken.
type notifiedVersions struct {
	revision   uint64
	quarantine uint64
	outOfUse   uint64
}

// recordNotified records the current versions and reports whether they changed since sessions were last woken.
func (l *leadership) recordNotified(current notifiedVersions) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.notified == current {
		return false
	}
	l.notified = current
	return true
}

// setBuckets sets the token buckets from a configuration revision if it is newer than the last one.
func (l *leadership) setBuckets(now time.Time, revision uint64, set configuration.Set) {
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

// bucketsOf returns the token bucket of each workspace in a set.
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

// sendHeldGrants answers held grant requests whose tokens are available or whose time in the queue is over, and reports
// whether requests are still held.
func (l *leadership) sendHeldGrants(now time.Time) bool {
	l.ownerMu.Lock()
	held := l.owner.Poll(now)
	_, more := l.owner.Next(now)
	l.ownerMu.Unlock()
	for _, granted := range held {
		if s := l.sessionOf(granted.Holder); s != nil {
			s.sendGrants([]limit.Grant{granted.Grant})
		}
	}
	return more
}

// pressedWorkspaces returns the workspaces that use up their limit. They are determined once in a pressedPeriod for all
// sessions.
func (l *leadership) pressedWorkspaces(now time.Time) []string {
	l.ownerMu.Lock()
	defer l.ownerMu.Unlock()
	if now.Sub(l.pressedAt) >= pressedPeriod {
		l.pressed, l.pressedAt = l.owner.Pressed(now), now
	}
	return l.pressed
}

// bucketStats returns the state of the token bucket of each workspace.
func (l *leadership) bucketStats(now time.Time) []limit.BucketStats {
	l.ownerMu.Lock()
	defer l.ownerMu.Unlock()
	return l.owner.Stats(now)
}

// expireTargets removes targets that have stopped announcing themselves, and returns them.
func (l *leadership) expireTargets(now time.Time) []target.Target {
	l.targetMu.Lock()
	before := l.targets.Version()
	expired := l.targets.Expire(now)
	changed := l.targets.Version() != before
	l.targetMu.Unlock()
	if changed {
		l.wakeSessions()
	}
	return expired
}

// startTimeOf returns the start time of the process that announced a target last, zero if unknown.
func (l *leadership) startTimeOf(name string) time.Time {
	l.targetMu.Lock()
	defer l.targetMu.Unlock()
	return l.targets.StartTime(name)
}

// quarantineDue reports whether quarantinePeriod has passed since quarantine entries were last expired, and if so
// restarts the period.
func (l *leadership) quarantineDue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.lastQuarantineExpiry) < quarantinePeriod {
		return false
	}
	l.lastQuarantineExpiry = now
	return true
}
