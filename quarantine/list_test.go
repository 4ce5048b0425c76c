package quarantine_test

import (
	"testing"
	"time"

	"sapphirespread.example/quarantine"
)

// TestHoldEndsWhenTheRegisterReportsTheFingerprint checks that a local quarantine lasts until its end or until a delta
// of the register contains the fingerprint. The empty register of a new leader must not end it.
func TestHoldEndsWhenTheRegisterReportsTheFingerprint(t *testing.T) {
	start := time.Unix(1000, 0)
	fp := quarantine.NewFingerprint([]byte("poison"))
	suspect := quarantine.Entry{Fingerprint: fp, State: quarantine.Suspect, Until: start.Add(time.Hour)}
	cases := []struct {
		name  string
		apply func(*quarantine.List)
		at    time.Duration
		want  quarantine.State
	}{
		{"held", func(*quarantine.List) {}, time.Second, quarantine.Quarantined},
		{"expired", func(*quarantine.List) {}, time.Minute, quarantine.Clear},
		{"new leader has no entry yet", func(l *quarantine.List) { l.Apply(1, true, nil, nil) }, time.Second, quarantine.Quarantined},
		{"suspect", func(l *quarantine.List) { l.Apply(1, true, []quarantine.Entry{suspect}, nil) }, time.Second, quarantine.Suspect},
		{"cleared", func(l *quarantine.List) { l.Apply(1, false, nil, []quarantine.Fingerprint{fp}) }, time.Second, quarantine.Clear},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			list := quarantine.NewList()
			list.QuarantineLocally(start, fp, start.Add(10*time.Second))
			c.apply(list)
			if got := list.State(start.Add(c.at), fp); got != c.want {
				t.Errorf("verdict %s, want %s", got, c.want)
			}
		})
	}
}

// TestExpiredEntryDoesNotPreventALocalHold checks that a fingerprint whose entry has expired is held when it crashes
// another target.
func TestExpiredEntryDoesNotPreventALocalHold(t *testing.T) {
	start := time.Unix(1000, 0)
	fp := quarantine.NewFingerprint([]byte("poison"))
	list := quarantine.NewList()
	list.Apply(1, true, []quarantine.Entry{{Fingerprint: fp, State: quarantine.Suspect, Until: start}}, nil)
	now := start.Add(time.Second)
	list.QuarantineLocally(now, fp, now.Add(10*time.Second))
	if got := list.State(now, fp); got != quarantine.Quarantined {
		t.Errorf("verdict %s, want %s", got, quarantine.Quarantined)
	}
}
