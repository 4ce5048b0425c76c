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

// writeProgress writes one line per deployment every second until ctx ends.
func (d *Demo) writeProgress(ctx context.Context, runs []*deploymentRun, times measure.Times, start time.Time) {
	previous := make([]load.Report, len(runs))
	for i, run := range runs {
		previous[i] = run.recorder.Report()
	}
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			elapsed := now.Sub(start).Round(progressInterval)
			for i, run := range runs {
				report := run.recorder.Report()
				_, _ = fmt.Fprintln(d.progress, formatProgress(run.deployment.Name, elapsed, times, previous[i], report))
				previous[i] = report
			}
		}
	}
}

func formatProgress(name string, elapsed time.Duration, times measure.Times, previous, report load.Report) string {
	phase := "steady"
	if elapsed > times.Before && elapsed <= times.End() {
		phase = "surge"
	}
	goodput := report.Goodput(elapsed-progressInterval, elapsed)
	workspace, share := worstWorkspace(report.Tallies(elapsed-2*progressInterval, elapsed-progressInterval))
	return fmt.Sprintf("%4.0fs %-8s %-6s goodput %4.0f/s  worst workspace %s %.0f%%  refusals %s",
		elapsed.Seconds(), name, phase, goodput, workspace, share*100, formatRefusals(previous, report))
}

// worstWorkspace returns the workspace with the lowest share of good responses, or "-" and 1 if no requests were
// offered.
func worstWorkspace(tallies []load.Tally) (workspace string, share float64) {
	workspace, share = "-", 1
	for _, tally := range tallies {
		if tally.Offered == 0 {
			continue
		}
		if goodShare := float64(tally.Good) / float64(tally.Offered); workspace == "-" || goodShare < share {
			workspace, share = tally.Workspace, goodShare
		}
	}
	return workspace, share
}

func formatRefusals(previous, report load.Report) string {
	var kinds []refusal.Kind
	for kind, count := range report.Refusals {
		if count > previous.Refusals[kind] {
			kinds = append(kinds, kind)
		}
	}
	slices.Sort(kinds)
	var counts []string
	for _, kind := range kinds {
		counts = append(counts, fmt.Sprintf("%s=%d", kind, report.Refusals[kind]-previous.Refusals[kind]))
	}
	if len(counts) == 0 {
		return "none"
	}
	return strings.Join(counts, " ")
}
