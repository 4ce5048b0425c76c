package operator

import "time"

// A QuarantineEntry is a request that was in flight when backend servers crashed.
type QuarantineEntry struct {
	Fingerprint string        `json:"fingerprint"`
	State       string        `json:"state"`
	Remaining   time.Duration `json:"remaining"`
	Crashes     []string      `json:"crashes"`
}
