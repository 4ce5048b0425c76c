package measure

import (
	"time"

	"sapphirespread.example/internal/load"
	"sapphirespread.example/refusal"
)

// A Result holds the measures of one system in one scenario.
type Result struct {
	Scenario   string     `json:"scenario"`
	Deployment string     `json:"deployment"`
	System     SystemName `json:"system"`
	Seed       uint64     `json:"seed"`
	Scale      float64    `json:"scale"`
	// Goodput and BestGoodput are whole requests a second during the trigger, within rate and burst.
	Goodput      float64 `json:"goodput"`
	BestGoodput  float64 `json:"best-goodput"`
	GoodputRatio float64 `json:"goodput-ratio"`
	// Recovery is the time from the end of the trigger until requests are served as before.
	Recovery  time.Duration `json:"recovery-ns"`
	Recovered bool          `json:"recovered"`
	// WorstRatio is what the worst-served workspace got of its fair share during the trigger.
	WorstWorkspace string  `json:"worst-workspace"`
	WorstRatio     float64 `json:"worst-ratio"`
	// PriorityRatio is the least that a workspace got of its fair share where more important routes come first.
	PriorityRatio float64 `json:"worst-ratio-by-priority"`
	// WrongfulRefusals are refused attempts among Within, those within the rate and burst.
	WrongfulRefusals int64 `json:"wrongful-refusals"`
	// WrongfulOverRate are those of them that were refused for their rate.
	WrongfulOverRate int64   `json:"wrongful-over-rate"`
	Within           int64   `json:"within"`
	WrongfulRatio    float64 `json:"wrongful-ratio"`
	// Repeated counts requests that ran more than once although they may not.
	Repeated int `json:"repeated"`
	// Lost counts the crashes of backend servers.
	Lost       int                    `json:"lost"`
	Latency    load.Latency           `json:"latency-ns"`
	Refusals   map[refusal.Kind]int64 `json:"refusals"`
	Verdicts   map[load.Verdict]int64 `json:"verdicts"`
	Routes     []load.RouteTally      `json:"routes"`
	Workspaces []load.Tally           `json:"workspaces"`
	Moments    []load.IntervalCounts  `json:"-"`
	Times      Times                  `json:"-"`
}
