package demo

import (
	"io"

	"sapphirespread.example/internal/measure"
)

// A Summary is what came of a demo.
type Summary struct {
	Seed    uint64  `json:"seed"`
	Scale   float64 `json:"scale"`
	Seconds float64 `json:"load-seconds"`
	// Results hold the measures of the surge for each deployment.
	Results []measure.Result `json:"deployments"`
}

func summarize(sides []*side, times measure.Times, scale float64, seed uint64) (Summary, error) {
	summary := Summary{Seed: seed, Scale: scale, Seconds: times.Total().Seconds()}
	for _, s := range sides {
		report := s.recorder.Report()
		result := measure.Result{
			Scenario: s.scenario.Name, Deployment: s.deployment.Name, System: measure.Sapphirespread, Seed: seed, Scale: scale, Times: times,
			Repeated: s.cluster.Fleet().Repeated(), Latency: report.Latency, Refusals: report.Refusals,
			Verdicts: report.Verdicts, Routes: report.Routes, Moments: report.Intervals,
		}
		if err := measure.Judge(&result, s.scenario, s.deployment, s.plan, report); err != nil {
			return summary, err
		}
		summary.Results = append(summary.Results, result)
	}
	return summary, nil
}

// WriteText writes the summary as a table.
func (s Summary) WriteText(w io.Writer) error {
	return measure.WriteText(w, s.Results)
}
