package quarantine_test

import (
	"testing"
	"time"

	"sapphirespread.example/quarantine"
)

// TestHoldEndsWithTheRegistersWord holds a crasher until its time or until the register tells of it.
func TestHoldEndsWithTheRegistersWord(t *testing.T) {
	start := time.Unix(1000, 0)
	fp := quarantine.Of([]byte("poison"))
	suspect := quarantine.Entry{Fingerprint: fp, State: quarantine.Suspect, Until: start.Add(time.Hour)}
	cases := []struct {
		name string
		tell func(*quarantine.List)
		at   time.Duration
		want quarantine.State
	}{
		{"held", func(*quarantine.List) {}, time.Second, quarantine.Quarantined},
		{"over", func(*quarantine.List) {}, time.Minute, quarantine.Clear},
		{"another leader knows nothing yet", func(l *quarantine.List) { l.Apply(1, true, nil, nil) }, time.Second, quarantine.Quarantined},
		{"suspect", func(l *quarantine.List) { l.Apply(1, true, []quarantine.Entry{suspect}, nil) }, time.Second, quarantine.Suspect},
		{"cleared", func(l *quarantine.List) { l.Apply(1, false, nil, []quarantine.Fingerprint{fp}) }, time.Second, quarantine.Clear},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			list := quarantine.NewList()
			list.Hold(start, fp, start.Add(10*time.Second))
			c.tell(list)
			if got := list.Verdict(start.Add(c.at), fp); got != c.want {
				t.Errorf("verdict %s, want %s", got, c.want)
			}
		})
	}
}
