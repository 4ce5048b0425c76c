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

// outage answers well but for an outage that begins with the trigger.
type outage struct {
	start  time.Time
	length time.Duration
}

func (o outage) Send(context.Context, load.Request) (load.Outcome, time.Duration) {
	if at := time.Since(o.start); at >= times.Before && at < times.Before+o.length {
		return load.Outcome{Verdict: load.Failed}, 0
	}
	return load.Outcome{Verdict: load.Good}, 0
}

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
				load.NewRunner(plan, outage{start, c.outage}).Run(t.Context(), recorder)
				result := measure.Result{Times: times}
				if err := measure.Judge(&result, scenario, d, plan, recorder.Report()); err != nil {
					t.Fatal(err)
				}
				if result.Recovered != c.recovered || result.Recovery < c.from || result.Recovery > c.to {
					t.Errorf("recovered: %v after %v", result.Recovered, result.Recovery)
				}
				if c.ratio == 0 && (result.Goodput != 0 || result.WorstRatio != 0) || c.ratio == 1 && result.GoodputRatio < 1 {
					t.Errorf("goodput %v of %v, worst %v", result.Goodput, result.BestGoodput, result.WorstRatio)
				}
			})
		})
	}
}

func TestRunThroughSocketsCountsEveryRequest(t *testing.T) {
	brief := measure.Times{Before: 200 * time.Millisecond, Trigger: 300 * time.Millisecond, After: 500 * time.Millisecond}
	for _, name := range []string{"slow-service", "domain-lost"} {
		scenario, err := measure.FindScenario(name)
		if err != nil {
			t.Fatal(err)
		}
		var results []measure.Result
		for _, system := range []measure.SystemName{measure.None, measure.Fixed} {
			d := deployment.Kite().Scaled(0.02)
			result, err := measure.Run(t.Context(), system, scenario, d, 7, brief)
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
			planned := int64(len(scenario.Plan(d, 7, brief).Arrivals()))
			if offered != planned || ended < planned || result.Verdicts[load.Wrong] > 0 || result.BestGoodput <= 0 {
				t.Errorf("%s, %s: %d planned, %d offered, attempts %v, best %v", name, system, planned, offered, result.Verdicts, result.BestGoodput)
			}
			results = append(results, result)
		}
		checkPlot(t, results)
	}
}

func checkPlot(t *testing.T, results []measure.Result) {
	t.Helper()
	path, err := measure.Plot(t.TempDir(), results)
	if err != nil {
		t.Fatal(err)
	}
	drawn, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	decoder := xml.NewDecoder(strings.NewReader(string(drawn)))
	for {
		if _, err := decoder.Token(); errors.Is(err, io.EOF) {
			return
		} else if err != nil {
			t.Fatal(err)
		}
	}
}

// TestFaultsOfBackendServersUnderLoad sends a request that crashes whatever runs it, again and again, and
// lets backend servers lie about their slots.
func TestFaultsOfBackendServersUnderLoad(t *testing.T) {
	brief := measure.Times{Before: 300 * time.Millisecond, Trigger: 1500 * time.Millisecond, After: 200 * time.Millisecond}
	for _, c := range []struct {
		scenario    string
		least, most int
	}{{"crashing-request", 1, 2}, {"lying-reports", 0, 0}} {
		scenario, err := measure.FindScenario(c.scenario)
		if err != nil {
			t.Fatal(err)
		}
		result, err := measure.Run(t.Context(), measure.Sapphirespread, scenario, deployment.Banevakt().Scaled(0.02), 1, brief)
		if err != nil {
			t.Fatal(err)
		}
		if result.Lost < c.least || result.Lost > c.most || result.Verdicts[load.Good] == 0 {
			t.Errorf("%s: %d backend servers lost, want %d to %d; attempts %v", c.scenario, result.Lost, c.least, c.most, result.Verdicts)
		}
	}
}
