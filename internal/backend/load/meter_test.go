package load_test

import (
	"math"
	"testing"
	"time"

	"sapphirespread.example/internal/backend/load"
)

var start = time.Unix(1_700_000_000, 0)

const (
	incarnation = 2
	usual       = 50 * time.Millisecond
)

// alternate returns a meter that has seen answers of a server whose slowness alternates between 1/2 and 2, and that
// states it multiplied by distortion. The last slowness is 2.
func alternate(follows bool, distortion float64) *load.Meter {
	m := load.NewMeter()
	for i := range 1000 {
		slowness := []float64{0.5, 2}[i%2]
		took := usual
		if follows {
			took = time.Duration(float64(usual) * slowness)
		}
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		m.Observe(now, incarnation, load.Report{Running: 3, Slots: 10, Slowness: slowness * distortion}, took)
	}
	return m
}

func TestStatedSlownessCountsAsFarAsServiceTimesFollowIt(t *testing.T) {
	last := start.Add(9990 * time.Millisecond)
	for _, distortion := range []float64{0.25, 1, 4} {
		state := alternate(true, distortion).State(last, 3, 0, 10)
		if want := 2 / 1.25; math.Abs(state.Slowness-want) > 0.1 {
			t.Errorf("distortion %.2f: slowness %.2f, want %.2f", distortion, state.Slowness, want)
		}
	}
	if state := alternate(false, 1).State(last, 3, 0, 10); math.Abs(state.Slowness-1) > 0.1 {
		t.Errorf("slowness %.2f of a server that doesn't follow it, want 1", state.Slowness)
	}
}

func TestStateTrustsTheDaemonsOwnCounts(t *testing.T) {
	m := load.NewMeter()
	for _, test := range []struct {
		report load.Report
		want   load.State
	}{
		{load.Report{Running: 8, Slots: 16, Slowness: 1}, load.State{InFlight: 12, Slots: 16}},
		{load.Report{Running: 32, Slots: 64, Slowness: 1}, load.State{InFlight: 14, Slots: 16}},
		{load.Report{Running: 2, Slots: 4, Slowness: 1}, load.State{InFlight: 12, Slots: 16}},
		{load.Report{Running: 8, Slots: 20, Slowness: 1}, load.State{InFlight: 12, Slots: 20}},
	} {
		m.Observe(start, incarnation, test.report, usual)
		if got := m.State(start, 8, 4, 16); got.InFlight != test.want.InFlight || got.Slots != test.want.Slots {
			t.Errorf("%+v: %+v, want %+v", test.report, got, test.want)
		}
	}
}

func TestOldReportsAndThoseOfOtherIncarnationsDoNotCount(t *testing.T) {
	m := load.NewMeter()
	report := load.Report{Slots: 16, Slowness: 1}
	if m.Observe(start, incarnation, load.Report{Slots: 16}, usual); m.State(start, 0, 0, 16).Known() {
		t.Error("a report without slowness counts")
	}
	m.Observe(start, incarnation, report, usual)
	if !m.State(start.Add(time.Second), 0, 0, 16).Known() || m.State(start.Add(1001*time.Millisecond), 0, 0, 16).Known() {
		t.Error("a report doesn't count for one second")
	}
	m.Observe(start, incarnation-1, report, time.Hour)
	if got := m.State(start, 0, 0, 16).ServiceTime; got != usual {
		t.Errorf("service time %s after an answer of an earlier incarnation, want %s", got, usual)
	}
	m.Observe(start, incarnation+1, report, 2*usual)
	if got := m.State(start, 0, 0, 16).ServiceTime; got != 2*usual {
		t.Errorf("service time %s of a new incarnation, want %s", got, 2*usual)
	}
}
