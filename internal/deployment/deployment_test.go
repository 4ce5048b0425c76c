package deployment_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sapphirespread.example/internal/deployment"
)

func TestDeploymentsHaveTheirSizes(t *testing.T) {
	for _, c := range []struct {
		d                                                   deployment.Deployment
		domains, minTargets, maxTargets, minSlots, maxSlots int
		minConnections, maxConnections                      int
	}{
		{deployment.Banevakt(), 3, 3, 5, 50, 260, 400, 1700},
		{deployment.Kite(), 4, 4, 6, 25, 230, 250, 1500},
	} {
		if len(c.d.FailureDomains) != c.domains || len(c.d.Services) != 4 || len(c.d.Workspaces) != 8 {
			t.Errorf("%s: %d failure domains, %d services, %d workspaces", c.d.Name, len(c.d.FailureDomains), len(c.d.Services), len(c.d.Workspaces))
		}
		share := 0.0
		for _, workspace := range c.d.Workspaces {
			share += workspace.Share
		}
		if math.Abs(share-1) > 1e-9 {
			t.Errorf("%s: the shares of the workspaces add up to %v, want 1", c.d.Name, share)
		}
		for _, service := range c.d.Services {
			if n := len(service.Slots); n < c.minTargets || n > c.maxTargets || len(service.Connections) != n {
				t.Errorf("%s: %s has %d targets and %d connections", c.d.Name, service.Name, n, len(service.Connections))
			}
			for i, slots := range service.Slots {
				if connections := service.Connections[i]; slots < c.minSlots || slots > c.maxSlots || connections < c.minConnections || connections > c.maxConnections {
					t.Errorf("%s: %s-%d has %d slots and %d connections", c.d.Name, service.Name, i+1, slots, connections)
				}
			}
		}
	}
}

// The best goodput is at most the offered load and at least the smaller of the offered load and the capacity. An
// impairment never increases it, and leaves it above 0.
func TestBestGoodputIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := rapid.SampledFrom([]deployment.Deployment{deployment.Banevakt(), deployment.Kite()}).Draw(t, "deployment").Scaled(0.1)
		share := rapid.Float64Range(0.05, 4).Draw(t, "share")
		offered := d.Capacity() * share
		service := rapid.SampledFrom(d.Services).Draw(t, "service").Name
		impaired := deployment.Impairment{Service: service, SlotShare: rapid.Float64Range(0.1, 1).Draw(t, "slots"), Slowdown: rapid.Float64Range(1, 10).Draw(t, "slowdown")}
		best, err := d.BestGoodput(offered)
		if err != nil {
			t.Fatal(err)
		}
		worse, err := d.BestGoodput(offered, impaired)
		if err != nil {
			t.Fatal(err)
		}
		const tolerance = 1e-6
		if best > offered+tolerance || worse > best+tolerance || worse <= 0 || best < min(offered, d.Capacity())-tolerance {
			t.Fatalf("offered %v of capacity %v: best %v, impaired %v", offered, d.Capacity(), best, worse)
		}
	})
}

// TestBestByPriorityServesTheMostImportantFirst checks that the rates are feasible, that Banevakt at three times
// its usual load answers as many requests of the most important route as possible, and how many of the others it
// still answers.
func TestBestByPriorityServesTheMostImportantFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := rapid.SampledFrom([]deployment.Deployment{deployment.Banevakt(), deployment.Kite()}).Draw(t, "deployment")
		offered := d.Capacity() * rapid.Float64Range(0.05, 4).Draw(t, "share")
		best, err := d.BestGoodput(offered)
		if err != nil {
			t.Fatal(err)
		}
		rates, err := d.BestByPriority(offered)
		if err != nil {
			t.Fatal(err)
		}
		sum := 0.0
		for _, r := range rates {
			sum += r.Rate
			if r.Rate < -1e-6 || r.Rate > offered*r.Route.Weight+1e-6 {
				t.Fatalf("%s: rate %v/s outside 0 to %v/s", r.Route.Name, r.Rate, offered*r.Route.Weight)
			}
		}
		if sum > best+1e-6 {
			t.Fatalf("rates by priority add up to %v/s, above the best goodput of %v/s", sum, best)
		}
	})
	d := deployment.Banevakt()
	rates, err := d.BestByPriority(1.5 * d.Capacity())
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]float64{
		"reserve":     190 / 0.040, // 190 slots of member, each held for 40 ms
		"free-courts": 1.5 * d.Capacity() * 0.35,
		"account":     0,
	}
	for _, r := range rates {
		if math.Abs(r.Rate-want[r.Route.Name]) > 1e-6 {
			t.Errorf("%s: rate %v/s, want %v/s", r.Route.Name, r.Rate, want[r.Route.Name])
		}
	}
}

func TestHeldIncludesDeeperServices(t *testing.T) {
	d := deployment.Banevakt()
	slow := deployment.Impairment{Service: "payment", SlotShare: 1, Slowdown: 10}
	if held := d.SlotHoldTime("booking"); held != 200*time.Millisecond {
		t.Errorf("a slot of booking is held for %v, want 200ms", held)
	}
	if held := d.SlotHoldTime("booking", slow); held != 650*time.Millisecond {
		t.Errorf("a slot of booking is held for %v while payment is slow, want 650ms", held)
	}
}

func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 100), 1, 10).Draw(t, "demands")
		total := rapid.Float64Range(0, 500).Draw(t, "total")
		shares := deployment.FairShares(total, demands)
		sum, wanted, minUnmet := 0.0, 0.0, math.Inf(1)
		for i, share := range shares {
			sum += share
			wanted += demands[i]
			if share < demands[i]-1e-9 {
				minUnmet = min(minUnmet, share)
			}
		}
		if math.Abs(sum-min(total, wanted)) > 1e-6 {
			t.Fatalf("shares add up to %v of a total of %v for demands of %v", sum, total, wanted)
		}
		for i, share := range shares {
			if share > demands[i]+1e-9 || share > minUnmet+1e-6 {
				t.Fatalf("share %v of demand %v, while another demand got only %v", share, demands[i], minUnmet)
			}
		}
	})
}
