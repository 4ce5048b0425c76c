package control_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sapphirespread.example/configuration"
	"sapphirespread.example/timeline"
)

const (
	inForceChanges = 40
	inForcePause   = 50 * time.Millisecond
)

// BenchmarkInForce publishes changes to three control processes with daemons as processes, and reports by their time
// lines how long a change takes from its sending and from its acceptance until it is in force at all daemons, and from the
// loss of the leader.
func BenchmarkInForce(b *testing.B) {
	for _, daemons := range []int{5, 10, 20, 40} {
		b.Run(fmt.Sprintf("daemons=%d", daemons), func(b *testing.B) {
			for b.Loop() {
				measureInForce(b, daemons)
			}
		})
	}
}

func measureInForce(b *testing.B, daemons int) {
	a := &attachment{processes: startThreeWith(b, time.Second, 100*time.Millisecond), set: slopeSet()}
	for i := range daemons {
		a.daemons = append(a.daemons, a.startDaemon(fmt.Sprintf("daemon-%d", i)))
	}
	revision, _ := a.change(func(*configuration.Set) {})
	a.waitForAll()
	a.awaitTimelines(revision)
	sentAt := make(map[uint64]time.Time)
	for range inForceChanges {
		time.Sleep(inForcePause)
		sent := time.Now()
		revision, _ = a.change(func(set *configuration.Set) { set.Limits[0].Burst++ })
		sentAt[revision] = sent
	}
	a.awaitTimelines(revision)
	leader, _ := a.split()
	acceptedAt := timesOf(b, leader.operators, "publish %s on revision %d: accepted %d", new(string), new(uint64))
	lastAt := a.lastInForce(sentAt)
	sent, accepted := newHistogram(), newHistogram()
	for revision, at := range lastAt {
		_ = sent.RecordValue(max(0, at.Sub(sentAt[revision]).Microseconds()))
		_ = accepted.RecordValue(max(0, at.Sub(acceptedAt[revision]).Microseconds()))
	}
	report(b, accepted, "accepted")
	report(b, sent, "sent")
	b.ReportMetric(a.throughLostLeader(func(leader *process) { a.isolate(leader, true) }), "leader-isolated-ms")
	for _, one := range a.all {
		a.isolate(one, false)
	}
	a.waitForAll()
	b.ReportMetric(a.throughLostLeader(a.kill), "leader-killed-ms")
	a.processes.stop()
}

// throughLostLeader returns the milliseconds from the loss of the leader until a change sent then is in force at all daemons.
func (a *attachment) throughLostLeader(lose func(*process)) float64 {
	a.t.Helper()
	leader, _ := a.split()
	lost := time.Now()
	lose(leader)
	revision, _ := a.change(func(set *configuration.Set) { set.Limits[0].Burst++ })
	a.awaitTimelines(revision)
	inForce := a.lastInForce(map[uint64]time.Time{revision: lost})[revision]
	return float64(inForce.Sub(lost).Microseconds()) / 1e3
}

// awaitTimelines waits until the time lines of all daemons have a revision.
func (a *attachment) awaitTimelines(revision uint64) {
	a.t.Helper()
	a.onAll("the revision in the time line", func(d *attachedDaemon) bool {
		return !timesOf(a.t, d.operators, "revision %d in force")[revision].IsZero()
	})
}

// lastInForce returns when each revision was in force at the last daemon.
func (a *attachment) lastInForce(revisions map[uint64]time.Time) map[uint64]time.Time {
	last := make(map[uint64]time.Time)
	for _, d := range a.daemons {
		times := timesOf(a.t, d.operators, "revision %d in force")
		for revision := range revisions {
			merged := revision
			for times[merged].IsZero() {
				merged++
			}
			if times[merged].After(last[revision]) {
				last[revision] = times[merged]
			}
		}
	}
	return last
}

// timesOf returns the times of the revisions that a time line tells of in the form of format, whose last value is the revision.
func timesOf(t testing.TB, operators netip.AddrPort, format string, before ...any) map[uint64]time.Time {
	t.Helper()
	times := make(map[uint64]time.Time)
	response, err := http.Get("http://" + operators.String() + "/operator/v1/timeline")
	if err != nil {
		return times
	}
	defer func() { _ = response.Body.Close() }()
	for lines := json.NewDecoder(response.Body); ; {
		var event timeline.Event
		if lines.Decode(&event) != nil {
			return times
		}
		var revision uint64
		if _, err := fmt.Sscanf(event.Text, format, append(before, &revision)...); err == nil {
			times[revision] = event.At.Wall
		}
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

func report(b *testing.B, histogram *hdrhistogram.Histogram, name string) {
	b.Helper()
	b.ReportMetric(float64(histogram.ValueAtPercentile(50))/1e3, name+"-p50-ms")
	b.ReportMetric(float64(histogram.ValueAtPercentile(99))/1e3, name+"-p99-ms")
	b.ReportMetric(float64(histogram.Max())/1e3, name+"-max-ms")
}
