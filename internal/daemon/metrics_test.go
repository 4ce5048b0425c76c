package daemon_test

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
)

// TestMetricsAreExplained checks that docs/reference/metrics.md documents every metric of a daemon.
func TestMetricsAreExplained(t *testing.T) {
	f := newFleet(t)
	f.publish(baseSet())
	b := f.backend("courts-1", "courts", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	f.eventually("an answer", func() bool { return ask(b.daemon, http.MethodGet, "/courts/1", "club", "").status == http.StatusOK })
	response, err := http.Get("http://" + b.daemon.OperatorsAddress().String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	var metrics struct {
		Daemon map[string]json.RawMessage `json:"daemon"`
	}
	if err := json.NewDecoder(response.Body).Decode(&metrics); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/reference/metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	for name := range metrics.Daemon {
		if !strings.Contains(string(page), "| `"+name+"` |") {
			t.Errorf("%s is not documented", name)
		}
	}
	if !strings.Contains(string(metrics.Daemon["latencies"]), `"courts/5/answered"`) {
		t.Errorf("no latency of the request: %s", metrics.Daemon["latencies"])
	}
}
