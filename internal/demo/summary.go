package demo

import (
	"io"

	"sapphirespread.example/internal/measure"
)

// A Summary holds the results of a demo.
type Summary struct {
	Seed    uint64  `json:"seed"`
	Scale   float64 `json:"scale"`
	Seconds float64 `json:"load-seconds"`
	// Results holds the measures of the surge for each deployment.
	Results []measure.Result `json:"deployments"`
}

func summarize(runs []*deploymentRun, times measure.Times, scale float64, seed uint64) (Summary, error) {
	summary := Summary{Seed: seed, Scale: scale, Seconds: times.Total().Seconds()}
	for _, run := range runs {
		report := run.recorder.Report()
		result := measure.Result{
			Scenario: run.scenario.Name, Deployment: run.deployment.Name, System: measure.Sapphirespread, Seed: seed, Scale: scale, Times: times,
			Repeated: run.cluster.Fleet().Repeated(), Latency: report.Latency, Refusals: report.Refusals,
			Verdicts: report.Verdicts, Routes: report.Routes, Intervals: report.Intervals,
		}
		if err := measure.Evaluate(&result, run.scenario, run.deployment, run.plan, report); err != nil {
			return summary, err
		}
		summary.Results = append(summary.Results, result)
	}
	return summary, nil
}

// WriteText writes the results as a table.
func (s Summary) WriteText(w io.Writer) error {
	return measure.WriteText(w, s.Results)
}
