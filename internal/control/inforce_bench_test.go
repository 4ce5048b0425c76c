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

// BenchmarkInForce publishes changes to three control processes with daemon processes attached. It reports, from their
// time lines, how long a change takes until it is in force at all daemons: after it was sent, after it was accepted,
// and after the leader was isolated or killed.
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
	a := &attachedCluster{cluster: startClusterWith(b, time.Second, 100*time.Millisecond), set: benchSet()}
	for i := range daemons {
		a.daemons = append(a.daemons, a.startDaemon(fmt.Sprintf("daemon-%d", i)))
	}
	revision, _ := a.change(func(*configuration.Set) {})
	a.awaitCaughtUp()
	a.awaitInTimelines(revision)
	sentAt := make(map[uint64]time.Time)
	for range inForceChanges {
		time.Sleep(inForcePause)
		sent := time.Now()
		revision, _ = a.change(func(set *configuration.Set) { set.Limits[0].Burst++ })
		sentAt[revision] = sent
	}
	a.awaitInTimelines(revision)
	leader, _ := a.leaderAndFollowers()
	acceptedAt := revisionTimes(b, leader.operators, "publish %s on revision %d: accepted %d", new(string), new(uint64))
	lastAt := a.lastInForce(sentAt)
	sent, accepted := newHistogram(), newHistogram()
	for revision, at := range lastAt {
		_ = sent.RecordValue(max(0, at.Sub(sentAt[revision]).Microseconds()))
		_ = accepted.RecordValue(max(0, at.Sub(acceptedAt[revision]).Microseconds()))
	}
	report(b, accepted, "accepted")
	report(b, sent, "sent")
	b.ReportMetric(a.timeThroughLeaderLoss(func(leader *process) { a.isolate(leader, true) }), "leader-isolated-ms")
	for _, instance := range a.instances {
		a.isolate(instance, false)
	}
	a.awaitCaughtUp()
	b.ReportMetric(a.timeThroughLeaderLoss(a.kill), "leader-killed-ms")
	a.cluster.stop()
}

// timeThroughLeaderLoss removes the leader with lose, publishes a change, and returns the milliseconds from the loss
// until the change is in force at all daemons.
func (a *attachedCluster) timeThroughLeaderLoss(lose func(*process)) float64 {
	a.t.Helper()
	leader, _ := a.leaderAndFollowers()
	lost := time.Now()
	lose(leader)
	revision, _ := a.change(func(set *configuration.Set) { set.Limits[0].Burst++ })
	a.awaitInTimelines(revision)
	inForce := a.lastInForce(map[uint64]time.Time{revision: lost})[revision]
	return float64(inForce.Sub(lost).Microseconds()) / 1e3
}

// awaitInTimelines waits until the time lines of all daemons report the revision in force.
func (a *attachedCluster) awaitInTimelines(revision uint64) {
	a.t.Helper()
	a.awaitAllDaemons("the revision in the time line", func(d *attachedDaemon) bool {
		return !revisionTimes(a.t, d.operators, "revision %d in force")[revision].IsZero()
	})
}

// lastInForce returns for each revision when the last daemon put it in force. A daemon that skipped a revision counts
// with the next one that it put in force.
func (a *attachedCluster) lastInForce(revisions map[uint64]time.Time) map[uint64]time.Time {
	last := make(map[uint64]time.Time)
	for _, d := range a.daemons {
		times := revisionTimes(a.t, d.operators, "revision %d in force")
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

// revisionTimes returns the time of each revision in the time-line events that match format. The last verb of format
// scans the revision, and leading receives the values before it.
func revisionTimes(t testing.TB, operators netip.AddrPort, format string, leading ...any) map[uint64]time.Time {
	t.Helper()
	times := make(map[uint64]time.Time)
	response, err := http.Get("http://" + operators.String() + "/operator/v1/timeline")
	if err != nil {
		return times
	}
	defer func() { _ = response.Body.Close() }()
	for decoder := json.NewDecoder(response.Body); ; {
		var event timeline.Event
		if decoder.Decode(&event) != nil {
			return times
		}
		var revision uint64
		if _, err := fmt.Sscanf(event.Text, format, append(leading, &revision)...); err == nil {
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
