package measure

import (
	"time"

	"sapphirespread.example/internal/deployment"
	"sapphirespread.example/internal/load"
)

const (
	recoveredShare = 0.95
	recoveryWindow = time.Second
)

// Judge fills in the four measures of result, whose Times are set, from the record of a run.
func Judge(result *Result, s Scenario, d deployment.Deployment, plan load.Plan, report load.Report) error {
	from, to := result.Times.Before, result.Times.End()
	if !s.Trigger {
		from, to = 0, plan.Duration
	}
	length := (to - from).Seconds()
	answerable := plan.Answerable(from, to)
	offered := 0.0
	for _, count := range answerable {
		offered += float64(count) / length
	}
	best, err := d.BestGoodput(offered, s.impaired(d)...)
	if err != nil {
		return err
	}
	result.BestGoodput = best
	tallies := report.Tallies(from, to)
	result.Goodput = report.Goodput(from, to) * entitled(tallies, answerable)
	result.GoodputRatio = result.Goodput / best
	judgeWorst(result, tallies, answerable, best*length)
	if err := judgeByPriority(result, s, d, answerable, length); err != nil {
		return err
	}
	judgeRecovery(result, s, report)
	judgeRefusals(result, report.Tallies(0, plan.Duration+load.Interval))
	return nil
}

// entitled returns the share of the good answers that workspaces got within their rate and burst.
func entitled(tallies []load.Tally, answerable []int64) float64 {
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

func (s Scenario) impaired(d deployment.Deployment) []deployment.Impairment {
	if s.impair == nil {
		return nil
	}
	return s.impair(d)
}

func judgeWorst(result *Result, tallies []load.Tally, answerable []int64, total float64) {
	demands := make([]float64, len(answerable))
	for i, count := range answerable {
		demands[i] = float64(count)
	}
	result.WorstRatio, result.WorstWorkspace = worst(tallies, deployment.FairShares(total, demands))
	result.Workspaces = tallies
}

// judgeByPriority compares what each workspace got with its fair share of what can be answered of each route
// when the more important routes come first.
func judgeByPriority(result *Result, s Scenario, d deployment.Deployment, answerable []int64, length float64) error {
	offered := 0.0
	for _, count := range answerable {
		offered += float64(count) / length
	}
	rates, err := d.BestByPriority(offered, s.impaired(d)...)
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
		for i, share := range deployment.FairShares(r.Rate*length, demands) {
			attainable[i] += share
		}
	}
	result.PriorityRatio, _ = worst(result.Workspaces, attainable)
	return nil
}

// worst returns the least that any workspace got of its share, and which one; -1 where none has a share.
func worst(tallies []load.Tally, shares []float64) (ratio float64, workspace string) {
	ratio = -1
	for i, tally := range tallies {
		if shares[i] <= 0 {
			continue
		}
		if got := float64(tally.Good) / shares[i]; ratio < 0 || got < ratio {
			ratio, workspace = got, tally.Workspace
		}
	}
	return ratio, workspace
}

// judgeRecovery finds the first window after the trigger in which requests are served as before it.
func judgeRecovery(result *Result, s Scenario, report load.Report) {
	if !s.Trigger {
		result.Recovered = true
		return
	}
	before, _ := report.GoodShare(0, result.Times.Before)
	end := result.Times.End()
	for at := end; at+recoveryWindow <= result.Times.Total(); at += load.Interval {
		served, arrived := report.GoodShare(at, at+recoveryWindow)
		if arrived && served >= recoveredShare*before {
			result.Recovered, result.Recovery = true, at-end
			return
		}
	}
}

func judgeRefusals(result *Result, tallies []load.Tally) {
	for _, tally := range tallies {
		result.Within += tally.Within
		result.WrongfulRefusals += tally.WrongfullyRefused()
		result.WrongfulOverRate += tally.WrongfullyOverRate()
	}
	if result.Within > 0 {
		result.WrongfulRatio = float64(result.WrongfulRefusals) / float64(result.Within)
	}
}
