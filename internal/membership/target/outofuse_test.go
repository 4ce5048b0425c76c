package target_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/priority"
)

// TestDomainLeavesAndReturnsUnderLoad keeps calls in flight while the own failure domain is taken out of use and back.
// While it is out, none of its targets is chosen, also not as a last resort; after that they are chosen at once.
func TestDomainLeavesAndReturnsUnderLoad(t *testing.T) {
	_, c := newTableAndChooser(t, "east", "east", "west", "west")
	own := map[string]bool{"t0": true, "t1": true}
	random := rand.New(rand.NewPCG(3, 4))
	now := start
	var inFlight []string
	// serve sends calls, of which up to 20 are in flight, and returns how many went to the own failure domain.
	serve := func(calls int, tried ...string) (ownCalls int) {
		for range calls {
			now = now.Add(time.Millisecond)
			choice, found, shed := c.Choose(now, random.Uint64(), "wind", priority.Origin{RootHash: random.Uint64()}, tried)
			if !found || shed {
				t.Fatalf("found %t, shed %t", found, shed)
			}
			c.Sent(now, choice.Target.Name)
			inFlight = append(inFlight, choice.Target.Name)
			if len(inFlight) > 20 {
				c.Answered(now, inFlight[0], target.Observation{Kind: target.OK, Latency: 20 * time.Millisecond})
				inFlight = inFlight[1:]
			}
			if own[choice.Target.Name] {
				ownCalls++
			}
		}
		return ownCalls
	}
	if got := serve(1000); got == 0 {
		t.Fatal("the own failure domain is not used")
	}
	c.SetOutOfUse([]string{"east"})
	if got := serve(1000) + serve(1000, "t2"); got > 0 {
		t.Errorf("%d calls went to the failure domain out of use", got)
	}
	c.SetOutOfUse([]string{"east", "west"})
	if choice, found, shed := c.Choose(now, 1, "wind", priority.Origin{}, nil); found || shed {
		t.Errorf("with all domains out of use: %v, found %t, shed %t", choice, found, shed)
	}
	c.SetOutOfUse(nil)
	if got := serve(10); got != 10 {
		t.Errorf("%d of 10 calls went to the own failure domain after its return", got)
	}
}

// TestDomainOutOfUseLeavesHalfOfTheOthers guards against ejections that count targets out of use as able to serve: at most
// half of those in use may be ejected for failures.
func TestDomainOutOfUseLeavesHalfOfTheOthers(t *testing.T) {
	_, c := newTableAndChooser(t, "west", "west", "east", "east")
	c.SetOutOfUse([]string{"west"})
	for range 10 {
		for _, name := range []string{"t2", "t3"} {
			c.Sent(start, name)
			c.Answered(start, name, target.Observation{Kind: target.Failed, Latency: time.Millisecond})
		}
	}
	if got := countChoices(c, start, 100); got["t2"]+got["t3"] != 100 || got["t2"] > 0 && got["t3"] > 0 {
		t.Errorf("choices %v, want only the one that may not be ejected", got)
	}
}
