package daemon

import (
	"time"

	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/priority"
)

// A callReport is what a target's daemon tells the sender about itself with each end of a call.
type callReport struct {
	unused   int
	level    priority.Level // of the target
	deeper   priority.Level // of the services that a run of the call's route needs
	draining bool
	crashed  string
}

func encodeReport(report callReport, now time.Time) *peerpb.CallReport {
	return &peerpb.CallReport{
		UnusedAllowance: int32(report.unused),
		Draining:        report.draining,
		CrashedTarget:   report.crashed,
		Level:           encodeLevel(report.level, now),
		Deeper:          encodeLevel(report.deeper, now),
	}
}

func decodeReport(encoded *peerpb.CallReport, now time.Time) callReport {
	return callReport{
		unused:   int(encoded.GetUnusedAllowance()),
		draining: encoded.GetDraining(),
		crashed:  encoded.GetCrashedTarget(),
		level:    decodeLevel(encoded.GetLevel(), now),
		deeper:   decodeLevel(encoded.GetDeeper(), now),
	}
}
