package measure

import (
	"time"

	"sapphirespread.example/internal/load"
	"sapphirespread.example/refusal"
)

// A Result holds the measures of one system in one scenario and deployment.
type Result struct {
	Scenario   string     `json:"scenario"`
	Deployment string     `json:"deployment"`
	System     SystemName `json:"system"`
	Seed       uint64     `json:"seed"`
	Scale      float64    `json:"scale"`
	// Goodput and BestGoodput are root requests per second during the trigger, within rate and burst.
	Goodput      float64 `json:"goodput"`
	BestGoodput  float64 `json:"best-goodput"`
	GoodputRatio float64 `json:"goodput-ratio"`
	// Recovery is the time from the end of the trigger until requests are served as before it.
	Recovery  time.Duration `json:"recovery-ns"`
	Recovered bool          `json:"recovered"`
	// WorstRatio is the fraction of its fair share that the worst-served workspace received during the trigger.
	WorstWorkspace string  `json:"worst-workspace"`
	WorstRatio     float64 `json:"worst-ratio"`
	// PriorityRatio is the lowest fraction of its fair share that any workspace received, if capacity goes to more
	// important routes first.
	PriorityRatio float64 `json:"worst-ratio-by-priority"`
	// WrongfulRefusals counts the refused attempts among Within, the attempts within the rate and burst.
	WrongfulRefusals int64 `json:"wrongful-refusals"`
	// WrongfulOverRate counts the wrongful refusals for exceeding the rate.
	WrongfulOverRate int64   `json:"wrongful-over-rate"`
	Within           int64   `json:"within"`
	WrongfulRatio    float64 `json:"wrongful-ratio"`
	// Repeated counts the non-repeatable requests that ran more than once.
	Repeated int `json:"repeated"`
	// Crashes counts the crashes of backend servers.
	Crashes    int                    `json:"lost"`
	Latency    load.Latency           `json:"latency-ns"`
	Refusals   map[refusal.Kind]int64 `json:"refusals"`
	Verdicts   map[load.Verdict]int64 `json:"verdicts"`
	Routes     []load.RouteTally      `json:"routes"`
	Workspaces []load.Tally           `json:"workspaces"`
	Intervals  []load.IntervalCounts  `json:"-"`
	Times      Times                  `json:"-"`
}
