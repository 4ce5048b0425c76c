package measure

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// WriteText writes the results as a table.
func WriteText(w io.Writer, results []Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "deployment\tscenario\tsystem\tgoodput/s\tbest/s\tof best\trecovery\tworst workspace\tof fair share\tby priority\twrongful refusals\trepeated\tlost\tp50\tp99")
	for _, r := range results {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%.0f\t%.0f\t%.3f\t%s\t%s\t%.3f\t%.3f\t%.5f\t%d\t%d\t%v\t%v\n",
			r.Deployment, r.Scenario, r.System, r.Goodput, r.BestGoodput, r.GoodputRatio, r.recoveryText(), r.WorstWorkspace,
			r.WorstRatio, r.PriorityRatio, r.WrongfulRatio, r.Repeated, r.Crashes, r.Latency.P50.Round(time.Millisecond), r.Latency.P99.Round(time.Millisecond))
	}
	return table.Flush()
}

// recoveryText returns the recovery time, or "never".
func (r Result) recoveryText() string {
	if !r.Recovered {
		return "never"
	}
	return r.Recovery.Round(100 * time.Millisecond).String()
}
