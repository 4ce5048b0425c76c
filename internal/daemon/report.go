package daemon

import (
	"time"

	"sapphirespread.example/internal/backend/load"
	"sapphirespread.example/internal/message"
	"sapphirespread.example/internal/peer/peerpb"
	"sapphirespread.example/priority"
)

// callReport is the state of a target that its daemon reports to the sender at the end of each call.
type callReport struct {
	unusedAllowance int
	level           priority.Level // of the target
	downstream      priority.Level // of the services that a run of the call's route calls
	draining        bool
	crashedTarget   string
	pace            int           // see target.Target, 0 if unknown
	handlingTime    time.Duration // from the receipt of the call until the report, zero if unknown
	load            load.State
}

func encodeReport(report callReport, now time.Time) *peerpb.CallReport {
	return &peerpb.CallReport{
		UnusedAllowance: int32(report.unusedAllowance),
		Draining:        report.draining,
		CrashedTarget:   report.crashedTarget,
		Level:           encodeLevel(report.level, now),
		Deeper:          encodeLevel(report.downstream, now),
		Pace:            uint32(report.pace),
		HandlingUs:      report.handlingTime.Microseconds(),
		Load:            encodeLoad(report.load),
	}
}

func decodeReport(encoded *peerpb.CallReport, now time.Time) callReport {
	return callReport{
		unusedAllowance: int(encoded.GetUnusedAllowance()),
		draining:        encoded.GetDraining(),
		crashedTarget:   encoded.GetCrashedTarget(),
		level:           decodeLevel(encoded.GetLevel(), now),
		downstream:      decodeLevel(encoded.GetDeeper(), now),
		pace:            message.DecodePace(encoded.GetPace()),
		handlingTime:    time.Duration(encoded.GetHandlingUs()) * time.Microsecond,
		load:            decodeLoad(encoded.GetLoad()),
	}
}
