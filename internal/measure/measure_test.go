package measure_test

import (
	"context"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sapphirespread.example/internal/deployment"
	"sapphirespread.example/internal/load"
	"sapphirespread.example/internal/measure"
)

var times = measure.Times{Before: 2 * time.Second, Trigger: 2 * time.Second, After: 3 * time.Second}

// outageSender returns good outcomes, except during an outage that begins with the trigger.
type outageSender struct {
	start  time.Time
	length time.Duration
}

func (o outageSender) Send(context.Context, load.Request) (load.Outcome, time.Duration) {
	if at := time.Since(o.start); at >= times.Before && at < times.Before+o.length {
		return load.Outcome{Verdict: load.Failed}, 0
	}
	return load.Outcome{Verdict: load.Good}, 0
}

// TestRecoveryIsTheTimeUntilRequestsAreServedAsBefore checks recovery and goodput for outages that end with the
// trigger, after it, or never.
func TestRecoveryIsTheTimeUntilRequestsAreServedAsBefore(t *testing.T) {
	for _, c := range []struct {
		name      string
		outage    time.Duration
		recovered bool
		from, to  time.Duration
		ratio     float64
	}{
		{"no outage", 0, true, 0, 0, 1},
		{"ends with the trigger", 2 * time.Second, true, 0, 0, 0},
		{"outlasts its trigger", 3 * time.Second, true, 900 * time.Millisecond, time.Second, 0},
		{"never ends", time.Hour, false, 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				scenario, err := measure.FindScenario("surge")
				if err != nil {
					t.Fatal(err)
				}
				d := deployment.Banevakt().Scaled(0.02)
				plan := scenario.Plan(d, 1, times)
				start := time.Now()
				recorder := load.NewRecorder(plan, start, func(time.Duration) bool { return false })
				load.NewRunner(plan, outageSender{start, c.outage}).Run(t.Context(), recorder)
				result := measure.Result{Times: times}
				if err := measure.Evaluate(&result, scenario, d, plan, recorder.Report()); err != nil {
					t.Fatal(err)
				}
				if result.Recovered != c.recovered || result.Recovery < c.from || result.Recovery > c.to {
					t.Errorf("recovered %v after %v", result.Recovered, result.Recovery)
				}
				if c.ratio == 0 && (result.Goodput != 0 || result.WorstRatio != 0) || c.ratio == 1 && result.GoodputRatio < 1 {
					t.Errorf("goodput %v of %v, worst ratio %v", result.Goodput, result.BestGoodput, result.WorstRatio)
				}
			})
		})
	}
}

// TestRunThroughSocketsCountsEveryRequest checks that a run of each baseline offers all planned requests and counts the
// outcome of each.
func TestRunThroughSocketsCountsEveryRequest(t *testing.T) {
	shortTimes := measure.Times{Before: 200 * time.Millisecond, Trigger: 300 * time.Millisecond, After: 500 * time.Millisecond}
	for _, name := range []string{"slow-service", "domain-lost"} {
		scenario, err := measure.FindScenario(name)
		if err != nil {
			t.Fatal(err)
		}
		var results []measure.Result
		for _, system := range []measure.SystemName{measure.None, measure.Fixed} {
			d := deployment.Kite().Scaled(0.02)
			result, err := measure.Run(t.Context(), system, scenario, d, 7, shortTimes)
			if err != nil {
				t.Fatal(err)
			}
			offered, ended := int64(0), int64(0)
			for _, route := range result.Routes {
				offered += route.Offered
			}
			for _, count := range result.Verdicts {
				ended += count
			}
			planned := int64(len(scenario.Plan(d, 7, shortTimes).Arrivals()))
			if offered != planned || ended < planned || result.Verdicts[load.Wrong] > 0 || result.BestGoodput <= 0 {
				t.Errorf("%s, %s: %d requests planned, %d offered, verdicts of attempts %v, best goodput %v", name, system, planned, offered, result.Verdicts, result.BestGoodput)
			}
			results = append(results, result)
		}
		checkPlot(t, results)
	}
}

// checkPlot checks that the plot of results is well-formed XML.
func checkPlot(t *testing.T, results []measure.Result) {
	t.Helper()
	path, err := measure.Plot(t.TempDir(), results)
	if err != nil {
		t.Fatal(err)
	}
	svg, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	decoder := xml.NewDecoder(strings.NewReader(string(svg)))
	for {
		if _, err := decoder.Token(); errors.Is(err, io.EOF) {
			return
		} else if err != nil {
			t.Fatal(err)
		}
	}
}

// TestFaultsOfBackendServersUnderLoad checks that a request that crashes every backend server that runs it crashes at
// most two of them despite its caller's retries, and that no backend server crashes while some report wrong slots.
func TestFaultsOfBackendServersUnderLoad(t *testing.T) {
	shortTimes := measure.Times{Before: 300 * time.Millisecond, Trigger: 1500 * time.Millisecond, After: 200 * time.Millisecond}
	for _, c := range []struct {
		scenario               string
		minCrashes, maxCrashes int
	}{{"crashing-request", 1, 2}, {"lying-reports", 0, 0}} {
		scenario, err := measure.FindScenario(c.scenario)
		if err != nil {
			t.Fatal(err)
		}
		result, err := measure.Run(t.Context(), measure.Sapphirespread, scenario, deployment.Banevakt().Scaled(0.02), 1, shortTimes)
		if err != nil {
			t.Fatal(err)
		}
		if result.Crashes < c.minCrashes || result.Crashes > c.maxCrashes || result.Verdicts[load.Good] == 0 {
			t.Errorf("%s: %d crashes of backend servers, want %d to %d; verdicts of attempts %v", c.scenario, result.Crashes, c.minCrashes, c.maxCrashes, result.Verdicts)
		}
	}
}
