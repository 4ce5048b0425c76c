package pace_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"sapphirespread.example/internal/admission/pace"
	"sapphirespread.example/priority"
)

// timedSlowStart is the part of its usual requests that a server gets in a slow start of 10 s.
func timedSlowStart(at time.Duration) float64 {
	return min(1, 0.1+at.Seconds()/10)
}

func fullLoad(time.Duration) float64 { return 1 }

func newPacer(learn bool, rate float64) *pace.Pacer {
	p := pace.New(pace.WithLearning(learn))
	p.Configure(start.Add(-2*time.Second), rate, coldStart)
	return p
}

// TestStartedServerIsNeitherFloodedNorIdle checks that a server that starts under load gets no more than it bears while it
// is cold, and nearly all of its usual requests within 3 s of being warm. A slow start of a fixed time fails both.
func TestStartedServerIsNeitherFloodedNorIdle(t *testing.T) {
	const usual, bearable = 100.0, 1.5*coldRate + 8
	cold := fakeServer{usual: usual, service: 100 * time.Millisecond, slots: 64, coldFor: coldStart, tellsIt: true}
	for _, c := range []struct {
		name          string
		weight        func(time.Duration) float64
		pacer         *pace.Pacer
		floods, idles bool
	}{
		{"all at once", fullLoad, nil, true, false},
		{"timed slow start", timedSlowStart, nil, true, true},
		{"pace", nil, newPacer(false, coldRate), false, false},
	} {
		s := cold
		s.weight, s.pacer = c.weight, c.pacer
		s.run(10 * time.Second)
		whileCold := mostInASecond(s.starts, 0, coldStart)
		afterwards := countIn(s.finished, coldStart+3*time.Second, time.Second)
		if floods, idles := float64(whileCold) > bearable, float64(afterwards) < 0.9*usual; floods != c.floods || idles != c.idles {
			t.Errorf("%s: %d requests in a second while cold (%v bearable), %d answered in the fourth second after", c.name, whileCold, bearable, afterwards)
		}
		t.Logf("%s: %d starts while cold, at most %d in a second; %d answered in the fourth second after, %d refused", c.name,
			countIn(s.starts, 0, coldStart), whileCold, afterwards, s.refused)
	}
}

// TestStartedServerIsGivenAPartOfItsColdRate checks that a cold server isn't left idle: it gets at least half of what it may
// have while it is cold.
func TestStartedServerIsGivenAPartOfItsColdRate(t *testing.T) {
	s := fakeServer{usual: 100, service: 100 * time.Millisecond, slots: 64, coldFor: coldStart, tellsIt: true, pacer: newPacer(false, coldRate)}
	s.run(coldStart)
	if got, want := len(s.starts), coldRate*coldStart.Seconds()/2; float64(got) < want {
		t.Errorf("%d starts while cold, want at least %v", got, want)
	}
}

// TestSilentServerThatStartsCrowdedIsFilledToItsKnee checks that a server that doesn't say that it is cold, and whose latency
// grows beyond a few requests at a time, answers its usual requests within 3 s of being warm, with few refused.
func TestSilentServerThatStartsCrowdedIsFilledToItsKnee(t *testing.T) {
	s := fakeServer{usual: 100, service: 100 * time.Millisecond, slots: 64, knee: 16, coldFor: coldStart, pacer: newPacer(true, 0)}
	s.run(10 * time.Second)
	answered := countIn(s.finished, coldStart+3*time.Second, time.Second)
	if answered < 90 {
		t.Errorf("%d answered in the fourth second after it was warm, want at least 90", answered)
	}
	slow := fakeServer{usual: 100, service: 100 * time.Millisecond, slots: 64, knee: 16, coldFor: coldStart, weight: timedSlowStart}
	slow.run(10 * time.Second)
	t.Logf("pace: %d answered in 10 s, %d refused; timed slow start: %d answered, %d refused", len(s.finished), s.refused, len(slow.finished), slow.refused)
	if len(s.finished) <= len(slow.finished) {
		t.Errorf("%d answered in 10 s, want more than the %d of a timed slow start", len(s.finished), len(slow.finished))
	}
}

// TestRecoveredServerGetsItsRequestsBack checks that a server that failed for long costs few requests meanwhile, and has
// nearly all of its usual requests 5 s after it has recovered.
func TestRecoveredServerGetsItsRequestsBack(t *testing.T) {
	const failsFrom, failsUntil = 15 * time.Second, 35 * time.Second
	s := fakeServer{usual: 100, service: 100 * time.Millisecond, slots: 64, pacer: newPacer(true, 0)}
	s.failing = func(at time.Duration) bool { return at >= failsFrom && at < failsUntil }
	s.run(45 * time.Second)
	before, failed := countIn(s.finished, 14*time.Second, time.Second), countIn(s.starts, failsFrom+time.Second, failsUntil-failsFrom-time.Second)
	after := countIn(s.finished, failsUntil+5*time.Second, time.Second)
	t.Logf("%d a second before, %d started in 19 s of failing, %d a second 5 s after", before, failed, after)
	if before < 90 || after < 90 {
		t.Errorf("answered %d a second before and %d a second 5 s after, want at least 90", before, after)
	}
	if failed > 5*19 {
		t.Errorf("%d requests were given to a server that failed them, in 19 s", failed)
	}
}

// TestWrongReadyCostsABoundedNumberOfRequests checks that a server that announces itself as ready and fails everything gets a
// few requests at first and then about one a second, never none.
func TestWrongReadyCostsABoundedNumberOfRequests(t *testing.T) {
	s := fakeServer{usual: 100, service: 100 * time.Millisecond, slots: 64, pacer: newPacer(true, 0)}
	s.failing = func(time.Duration) bool { return true }
	s.run(30 * time.Second)
	t.Logf("%d starts in 30 s, %d in the first second", len(s.starts), countIn(s.starts, 0, time.Second))
	if len(s.starts) > 30+20 {
		t.Errorf("%d requests in 30 s were given to a server that fails all", len(s.starts))
	}
	for at := time.Duration(0); at < 27*time.Second; at += 3 * time.Second {
		if countIn(s.starts, at, 3*time.Second) == 0 {
			t.Errorf("no request from %v to %v", at, at+3*time.Second)
		}
	}
}

// TestShortServiceBelowLeavesThePaceOfItsCallers checks that a server whose requests fail since a service below is short, or
// are slow for that, gets its usual requests as soon as another.
func TestShortServiceBelowLeavesThePaceOfItsCallers(t *testing.T) {
	s := fakeServer{usual: 100, service: 100 * time.Millisecond, slots: 64, pacer: newPacer(true, 0)}
	s.below = func(at time.Duration) (priority.Cause, time.Duration) {
		if at%(200*time.Millisecond) < 150*time.Millisecond {
			return priority.CauseNested, 0
		}
		return priority.CauseNone, at % time.Second
	}
	s.run(6 * time.Second)
	if started := countIn(s.starts, 5*time.Second, time.Second); started < 90 {
		t.Errorf("%d requests started in the sixth second, want at least 90", started)
	}
}

// TestUnevenRunsDontSlowTheServer checks that a server whose runs differ tenfold in length, without being crowded, gets its usual
// requests.
func TestUnevenRunsDontSlowTheServer(t *testing.T) {
	s := fakeServer{usual: 60, service: 10 * time.Millisecond, slots: 84, pacer: newPacer(true, 0)}
	random := rand.New(rand.NewPCG(1, 2))
	s.varies = func() float64 { return 0.2 + 2*random.ExpFloat64() }
	s.run(6 * time.Second)
	if started := countIn(s.starts, 4*time.Second, 2*time.Second); started < 108 {
		t.Errorf("%d requests started in the fifth and sixth second, want at least 108", started)
	}
	if fellBack := s.pacer.Stats(start.Add(6 * time.Second)).FellBack; fellBack > 0 {
		t.Errorf("fell back %d times", fellBack)
	}
}
