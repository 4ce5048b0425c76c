package timeline_test

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphirespread.example/timeline"
)

func TestStampFollowsObservedStamp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Unix(1_000, 0)
		clocks := []*timeline.Clock{timeline.NewClock(), timeline.NewClock(), timeline.NewClock()}
		skew := rapid.SliceOfN(rapid.IntRange(-5_000, 5_000), 3, 3).Draw(t, "skew in ms")
		var last timeline.Stamp
		for step := range 30 {
			process := rapid.IntRange(0, 2).Draw(t, "process")
			now := start.Add(time.Duration(step+skew[process]) * time.Millisecond)
			clocks[process].Observe(now, last)
			stamp := clocks[process].Now(now)
			if stamp.Compare(last) <= 0 {
				t.Fatalf("step %d: %v does not follow %v", step, stamp, last)
			}
			last = stamp
		}
	})
}

func TestRingKeepsLatestEvents(t *testing.T) {
	ring := timeline.NewRing(timeline.NewClock(), "daemon-1", 3)
	for _, text := range []string{"a", "b", "c", "d"} {
		ring.Record(time.Unix(1, 0), "part", text)
	}
	events := ring.Events()
	if len(events) != 3 || events[0].Text != "b" || events[2].Text != "d" {
		t.Fatalf("events = %v", events)
	}
}

func TestPageEscapesAndCountsEvents(t *testing.T) {
	one := timeline.NewRing(timeline.NewClock(), "one", 8)
	two := timeline.NewRing(timeline.NewClock(), "two", 8)
	two.Record(time.Unix(1, 0), "part", "<b>first</b>")
	one.Record(time.Unix(2, 0), "part", "second")
	merged := timeline.Merge(one.Events(), two.Events(), two.Events())
	var text, html strings.Builder
	if err := timeline.WriteText(&text, merged); err != nil {
		t.Fatal(err)
	}
	if err := timeline.WriteHTML(&html, merged); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Count(text.String(), "\n"); lines != 2 || strings.Index(text.String(), "first") > strings.Index(text.String(), "second") {
		t.Errorf("text:\n%s", text.String())
	}
	if strings.Contains(html.String(), "<b>first") || !strings.Contains(html.String(), "2 events of 2 processes") {
		t.Errorf("page:\n%s", html.String())
	}
}
