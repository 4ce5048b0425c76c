package daemon

import (
	"time"

	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/priority"
)

// A callReport is what a target's daemon tells the sender about itself with each end of a call.
type callReport struct {
	unused   int
	level    priority.Level
	draining bool
	crashed  string
}

func encodeReport(report callReport, now time.Time) *peerpb.CallReport {
	return &peerpb.CallReport{
		UnusedAllowance: int32(report.unused),
		Draining:        report.draining,
		CrashedTarget:   report.crashed,
		Level: &peerpb.Level{
			Priority: int32(report.level.Priority),
			Share:    report.level.Share,
			ValidUs:  report.level.ValidUntil.Sub(now).Microseconds(),
		},
	}
}

func decodeReport(encoded *peerpb.CallReport, now time.Time) callReport {
	level := encoded.GetLevel()
	validity := time.Duration(level.GetValidUs()) * time.Microsecond
	return callReport{
		unused:   int(encoded.GetUnusedAllowance()),
		draining: encoded.GetDraining(),
		crashed:  encoded.GetCrashedTarget(),
		level: priority.Level{
			Priority:   int(level.GetPriority()),
			Share:      level.GetShare(),
			ValidUntil: now.Add(validity),
		},
	}
}
