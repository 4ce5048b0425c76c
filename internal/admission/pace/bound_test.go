package pace_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphirespread.example/internal/admission/pace"
	"sapphirespread.example/priority"
)

// A coldSpan is a time during which the server is cold.
type coldSpan struct{ from, until time.Duration }

// leftAt returns how long the server is still cold at the given time.
func leftAt(spans []coldSpan, at time.Duration) time.Duration {
	for _, s := range spans {
		if at >= s.from && at < s.until {
			return s.until - at
		}
	}
	return 0
}

// TestColdServerGetsNoMoreThanItBearsInAnySecond checks the bound on starts in each span of a second that lies within the time
// in which the server is cold and a daemon has heard so, for any offers, ends, restarts of the daemon and late or lost
// announcements.
func TestColdServerGetsNoMoreThanItBearsInAnySecond(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{1, 3, 17, 200}).Draw(t, "rate")
		learn := rapid.Bool().Draw(t, "learn")
		spans := []coldSpan{{0, coldStart}}
		again := time.Duration(rapid.IntRange(3500, 7000).Draw(t, "cold again ms")) * time.Millisecond
		spans = append(spans, coldSpan{again, again + coldStart})
		newPacer := func() *pace.Pacer { return pace.New(pace.WithLearning(learn)) }
		pacer, configured := newPacer(), false
		var starts []time.Duration
		var heardAt [2]time.Duration // when a span was first heard of, 0 for not yet
		const duration = 11 * time.Second
		arrivesAt, sentAt := time.Duration(-1), time.Duration(0) // the announcement under way
		for at := time.Duration(0); at < duration; at += 5 * time.Millisecond {
			now := start.Add(at)
			switch rapid.IntRange(0, 199).Draw(t, "event") {
			case 0: // the daemon is restarted
				pacer, configured, arrivesAt = newPacer(), false, -1
			case 1, 2, 3, 4: // an announcement is sent, and arrives late or never
				if arrivesAt < 0 {
					arrivesAt = at + time.Duration(rapid.IntRange(0, 2000).Draw(t, "delay ms"))*time.Millisecond
					sentAt = at
				}
			case 5: // it is lost
				arrivesAt = -1
			}
			if arrivesAt >= 0 && at >= arrivesAt {
				arrivesAt = -1
				if !configured {
					pacer.Configure(now, rate, coldStart)
				}
				pacer.Hear(now, pace.Word{New: !configured, ColdLeft: leftAt(spans, sentAt), Slots: 64})
				configured = true
				for i, s := range spans {
					if heardAt[i] == 0 && sentAt >= s.from && sentAt < s.until {
						heardAt[i] = max(at, 1)
					}
				}
			}
			if !configured {
				continue // without an announcement nothing is admitted
			}
			for range rapid.IntRange(0, 3).Draw(t, "offers") {
				pacer.Offered(now)
				if pacer.Open(now) {
					pacer.Started(now)
					starts = append(starts, at)
				}
			}
			if len(starts) > 0 && rapid.Bool().Draw(t, "ends") {
				cause := rapid.SampledFrom([]priority.Cause{priority.CauseNone, priority.CauseNone, priority.CauseBroken, priority.CauseAborted}).Draw(t, "cause")
				pacer.Ended(now, "r", priority.Result{Latency: 20 * time.Millisecond, Cause: cause})
			}
		}
		for i, s := range spans {
			if heardAt[i] == 0 {
				continue
			}
			if most := mostInASecond(starts, max(heardAt[i], s.from), s.until); float64(most) > rate*1.5+8 {
				t.Fatalf("%d starts in a second while cold at a rate of %v", most, rate)
			}
		}
	})
}

// TestRestartedDaemonKeepsTheColdBound checks that daemons that are restarted one after the other beside a cold server don't
// each give it its rate, and that the last one gives it requests.
func TestRestartedDaemonKeepsTheColdBound(t *testing.T) {
	const rate, restarts = 1.0, 20
	var starts []time.Duration
	var pacer *pace.Pacer
	for at := time.Duration(0); at < coldStart; at += time.Millisecond {
		now := start.Add(at)
		if at%(50*time.Millisecond) == 0 && at < restarts*50*time.Millisecond {
			pacer = pace.New()
			pacer.Configure(now, rate, coldStart)
			pacer.Hear(now, pace.Word{New: true, ColdLeft: coldStart - at, Slots: 64})
		}
		if offer(pacer, at, 1) > 0 {
			starts = append(starts, at)
		}
	}
	if most := mostInASecond(starts, 0, coldStart); float64(most) > 1.5*rate+8 || most == 0 {
		t.Errorf("%d starts in a second, with %d restarts", most, restarts)
	}
}

// offer offers n requests at once and returns how many start.
func offer(p *pace.Pacer, at time.Duration, n int) (started int) {
	now := start.Add(at)
	for range n {
		p.Offered(now)
		if p.Open(now) {
			p.Started(now)
			started++
		}
	}
	return started
}

// TestStartsBeforeTheAnnouncementCount checks that what was started before a server was known to be cold counts.
func TestStartsBeforeTheAnnouncementCount(t *testing.T) {
	p := newPacer(false, coldRate)
	p.Hear(start, pace.Word{New: true, Slots: 64})
	if got := offer(p, 400*time.Millisecond, 100); got != 100 {
		t.Errorf("%d of 100 started at a warm server", got)
	}
	p.Hear(start.Add(600*time.Millisecond), pace.Word{ColdLeft: coldStart, Slots: 64})
	if got := offer(p, 700*time.Millisecond, 100); got != 0 {
		t.Errorf("%d started 0.3 s after 100 others, while cold", got)
	}
	if got := offer(p, 2*time.Second, 100); got == 0 {
		t.Error("none started a second later")
	}
}

// TestIdleServerMayHaveTurnedCold checks that a server that was idle for longer than its last announcement shows isn't given
// more than a cold one before the next.
func TestIdleServerMayHaveTurnedCold(t *testing.T) {
	p := newPacer(false, coldRate)
	p.Hear(start, pace.Word{New: true, Slots: 64})
	offer(p, 100*time.Millisecond, 1)
	if got := offer(p, 2*time.Second, 100); got == 0 || float64(got) > 1.5*coldRate+8 {
		t.Errorf("%d started at a server that was idle", got)
	}
	offer(p, 2900*time.Millisecond, 1)
	p.Hear(start.Add(3*time.Second), pace.Word{Slots: 64})
	if got := offer(p, 3200*time.Millisecond, 100); got != 100 {
		t.Errorf("%d of 100 started after it said that it is warm", got)
	}
}
