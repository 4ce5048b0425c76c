package daemon

import (
	"time"

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
	handlingTime    time.Duration    // from the receipt of the call until the report, zero if unknown
	outOfUse        *peerpb.OutOfUse // failure domains, nil if the sender of the call knows them
}

func encodeReport(report callReport, now time.Time) *peerpb.CallReport {
	return &peerpb.CallReport{
		UnusedAllowance: int32(report.unusedAllowance),
		Draining:        report.draining,
		CrashedTarget:   report.crashedTarget,
		Level:           encodeLevel(report.level, now),
		Deeper:          encodeLevel(report.downstream, now),
		HandlingUs:      report.handlingTime.Microseconds(),
		OutOfUse:        report.outOfUse,
	}
}

func decodeReport(encoded *peerpb.CallReport, now time.Time) callReport {
	return callReport{
		unusedAllowance: int(encoded.GetUnusedAllowance()),
		draining:        encoded.GetDraining(),
		crashedTarget:   encoded.GetCrashedTarget(),
		level:           decodeLevel(encoded.GetLevel(), now),
		downstream:      decodeLevel(encoded.GetDeeper(), now),
		outOfUse:        encoded.GetOutOfUse(),
		handlingTime:    time.Duration(encoded.GetHandlingUs()) * time.Microsecond,
	}
}
