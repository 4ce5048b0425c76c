package demo

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"sapphirespread.example/internal/load"
	"sapphirespread.example/internal/measure"
	"sapphirespread.example/refusal"
)

// tell writes a line for each deployment each second until ctx ends.
func (d *Demo) tell(ctx context.Context, sides []*side, times measure.Times, start time.Time) {
	before := make([]load.Report, len(sides))
	for i, s := range sides {
		before[i] = s.recorder.Report()
	}
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			at := now.Sub(start).Round(progressInterval)
			for i, s := range sides {
				report := s.recorder.Report()
				_, _ = fmt.Fprintln(d.progress, line(s.deployment.Name, at, times, before[i], report))
				before[i] = report
			}
		}
	}
}

func line(name string, at time.Duration, times measure.Times, before, report load.Report) string {
	part := "steady"
	if at > times.Before && at <= times.End() {
		part = "surge"
	}
	goodput := report.Goodput(at-progressInterval, at)
	worst, share := worst(report.Tallies(at-2*progressInterval, at-progressInterval))
	return fmt.Sprintf("%4.0fs %-8s %-6s goodput %4.0f/s  worst workspace %s %.0f%%  refusals %s",
		at.Seconds(), name, part, goodput, worst, share*100, refusals(before, report))
}

// worst returns the workspace with the lowest share of its requests answered.
func worst(tallies []load.Tally) (workspace string, share float64) {
	workspace, share = "-", 1
	for _, tally := range tallies {
		if tally.Offered == 0 {
			continue
		}
		if answered := float64(tally.Good) / float64(tally.Offered); workspace == "-" || answered < share {
			workspace, share = tally.Workspace, answered
		}
	}
	return workspace, share
}

func refusals(before, report load.Report) string {
	var kinds []refusal.Kind
	for kind, count := range report.Refusals {
		if count > before.Refusals[kind] {
			kinds = append(kinds, kind)
		}
	}
	slices.Sort(kinds)
	var told []string
	for _, kind := range kinds {
		told = append(told, fmt.Sprintf("%s=%d", kind, report.Refusals[kind]-before.Refusals[kind]))
	}
	if len(told) == 0 {
		return "none"
	}
	return strings.Join(told, " ")
}
