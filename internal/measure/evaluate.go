package measure

import (
	"time"

	"sapphirespread.example/internal/deployment"
	"sapphirespread.example/internal/load"
)

const (
	recoveredRatio = 0.95
	recoveryWindow = time.Second
)

// Evaluate computes the measures of result from the report of a run. Times must already be set in result.
func Evaluate(result *Result, s Scenario, d deployment.Deployment, plan load.Plan, report load.Report) error {
	from, to := result.Times.Before, result.Times.End()
	if !s.Trigger {
		from, to = 0, plan.Duration
	}
	seconds := (to - from).Seconds()
	answerable := plan.Answerable(from, to)
	offered := 0.0
	for _, count := range answerable {
		offered += float64(count) / seconds
	}
	best, err := d.BestGoodput(offered, s.activeImpairments(d)...)
	if err != nil {
		return err
	}
	result.BestGoodput = best
	tallies := report.Tallies(from, to)
	result.Goodput = report.Goodput(from, to) * withinLimitShare(tallies, answerable)
	result.GoodputRatio = result.Goodput / best
	setWorstRatio(result, tallies, answerable, best*seconds)
	if err := setPriorityRatio(result, s, d, answerable, seconds); err != nil {
		return err
	}
	setRecovery(result, s, report)
	setRefusals(result, report.Tallies(0, plan.Duration+load.Interval))
	return nil
}

// withinLimitShare returns the share of the good responses that workspaces received within their rate and burst.
func withinLimitShare(tallies []load.Tally, answerable []int64) float64 {
	good, within := int64(0), int64(0)
	for i, tally := range tallies {
		good += tally.Good
		within += min(tally.Good, answerable[i])
	}
	if good == 0 {
		return 0
	}
	return float64(within) / float64(good)
}

// activeImpairments returns the impairments during the trigger, or nil if there are none.
func (s Scenario) activeImpairments(d deployment.Deployment) []deployment.Impairment {
	if s.impairments == nil {
		return nil
	}
	return s.impairments(d)
}

// setWorstRatio sets the worst ratio of any workspace's good responses to its fair share of totalGoodput.
func setWorstRatio(result *Result, tallies []load.Tally, answerable []int64, totalGoodput float64) {
	demands := make([]float64, len(answerable))
	for i, count := range answerable {
		demands[i] = float64(count)
	}
	result.WorstRatio, result.WorstWorkspace = worstRatio(tallies, deployment.FairShares(totalGoodput, demands))
	result.Workspaces = tallies
}

// setPriorityRatio sets the worst ratio of any workspace's good responses to its fair share when capacity goes to the
// more important routes first.
func setPriorityRatio(result *Result, s Scenario, d deployment.Deployment, answerable []int64, seconds float64) error {
	offered := 0.0
	for _, count := range answerable {
		offered += float64(count) / seconds
	}
	rates, err := d.BestByPriority(offered, s.activeImpairments(d)...)
	if err != nil {
		return err
	}
	weights := 0.0
	for _, r := range rates {
		weights += r.Route.Weight
	}
	attainable := make([]float64, len(answerable))
	for _, r := range rates {
		demands := make([]float64, len(answerable))
		for i, count := range answerable {
			demands[i] = float64(count) * r.Route.Weight / weights
		}
		for i, share := range deployment.FairShares(r.Rate*seconds, demands) {
			attainable[i] += share
		}
	}
	result.PriorityRatio, _ = worstRatio(result.Workspaces, attainable)
	return nil
}

// worstRatio returns the lowest ratio of good responses to share, and its workspace. The ratio is -1 if no workspace
// has a share.
func worstRatio(tallies []load.Tally, shares []float64) (ratio float64, workspace string) {
	ratio = -1
	for i, tally := range tallies {
		if shares[i] <= 0 {
			continue
		}
		if received := float64(tally.Good) / shares[i]; ratio < 0 || received < ratio {
			ratio, workspace = received, tally.Workspace
		}
	}
	return ratio, workspace
}

// setRecovery sets the time from the end of the trigger to the first window whose share of good responses is at least
// recoveredRatio of the share before the trigger.
func setRecovery(result *Result, s Scenario, report load.Report) {
	if !s.Trigger {
		result.Recovered = true
		return
	}
	before, _ := report.GoodShare(0, result.Times.Before)
	end := result.Times.End()
	for at := end; at+recoveryWindow <= result.Times.Total(); at += load.Interval {
		served, arrived := report.GoodShare(at, at+recoveryWindow)
		if arrived && served >= recoveredRatio*before {
			result.Recovered, result.Recovery = true, at-end
			return
		}
	}
}

// setRefusals adds up the wrongful refusals of all workspaces.
func setRefusals(result *Result, tallies []load.Tally) {
	for _, tally := range tallies {
		result.Within += tally.Within
		result.WrongfulRefusals += tally.WrongfullyRefused()
		result.WrongfulOverRate += tally.WrongfullyOverRate()
	}
	if result.Within > 0 {
		result.WrongfulRatio = float64(result.WrongfulRefusals) / float64(result.Within)
	}
}
