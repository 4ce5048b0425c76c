package daemon

import (
	"math"
	"slices"
	"time"

	"sapphirespread.example/internal/admission/room"
	"sapphirespread.example/internal/admission/tree"
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
	costs           []tree.Cost      // of the call at each service that it reached, if it was answered well
	rooms           []room.Report    // of the services below
	outOfUse        *peerpb.OutOfUse // failure domains, nil if the sender of the call knows them
	turnedAway      float64          // share of the calls that the target's backend server turned away lately
}

// maxReachedServices is the number of services that a report may name.
const maxReachedServices = 16

// encodeReached encodes the costs and the rooms of a report by service.
func encodeReached(report callReport, now time.Time) []*peerpb.ReachedService {
	var reached []*peerpb.ReachedService
	for _, cost := range report.costs {
		reached = append(reached, &peerpb.ReachedService{
			Service: cost.Service, Calls: uint32(cost.Calls), SlotUs: cost.SlotTime.Microseconds(),
		})
	}
	for _, r := range report.rooms {
		i := slices.IndexFunc(reached, func(s *peerpb.ReachedService) bool { return s.GetService() == r.Service })
		if i < 0 {
			i = len(reached)
			reached = append(reached, &peerpb.ReachedService{Service: r.Service})
		}
		reached[i].Target, reached[i].Level = uint32(r.Target), encodeLevel(r.Cut, now)
		reached[i].TurnedAway = encodeShare(r.TurnedAway)
	}
	return reached[:min(len(reached), maxReachedServices)]
}

func encodeShare(share float64) uint32 {
	return uint32(math.Round(min(max(share, 0), 1) * workspaceShareScale))
}

func decodeShare(encoded uint32) float64 {
	return min(float64(encoded)/workspaceShareScale, 1)
}

// decodeReached adds the costs and the rooms that a peer reported to report.
func decodeReached(reached []*peerpb.ReachedService, now time.Time, report *callReport) {
	for _, s := range reached[:min(len(reached), maxReachedServices)] {
		if s.GetCalls() > 0 && s.GetSlotUs() >= 0 {
			slotTime := time.Duration(s.GetSlotUs()) * time.Microsecond
			report.costs = append(report.costs, tree.Cost{Service: s.GetService(), Calls: float64(s.GetCalls()), SlotTime: slotTime})
		}
		if level := decodeLevel(s.GetLevel(), now); !level.ValidUntil.IsZero() {
			report.rooms = append(report.rooms, room.Report{Service: s.GetService(), Target: room.TargetHash(s.GetTarget()), Cut: level, TurnedAway: decodeShare(s.GetTurnedAway())})
		}
	}
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
		Reached:         encodeReached(report, now),
		OutOfUse:        report.outOfUse,
		TurnedAway:      encodeShare(report.turnedAway),
	}
}

func decodeReport(encoded *peerpb.CallReport, now time.Time) callReport {
	report := callReport{
		unusedAllowance: int(encoded.GetUnusedAllowance()),
		draining:        encoded.GetDraining(),
		crashedTarget:   encoded.GetCrashedTarget(),
		level:           decodeLevel(encoded.GetLevel(), now),
		downstream:      decodeLevel(encoded.GetDeeper(), now),
		pace:            message.DecodePace(encoded.GetPace()),
		outOfUse:        encoded.GetOutOfUse(),
		handlingTime:    time.Duration(encoded.GetHandlingUs()) * time.Microsecond,
		load:            decodeLoad(encoded.GetLoad()),
	}
	report.turnedAway = decodeShare(encoded.GetTurnedAway())
	decodeReached(encoded.GetReached(), now, &report)
	return report
}
