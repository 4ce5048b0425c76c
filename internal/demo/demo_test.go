package demo_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sapphirespread.example/internal/demo"
	"sapphirespread.example/internal/load"
)

func TestDemoRunsBothDeploymentsAndStops(t *testing.T) {
	folder := t.TempDir()
	var progress strings.Builder
	summary, err := demo.New(
		demo.WithDuration(2*time.Minute), demo.WithLoadDuration(3*time.Second), demo.WithScale(0.02), demo.WithProgress(&progress), demo.WithTimelineFolder(folder),
	).Run(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"banevakt", "kite"} {
		if !strings.Contains(progress.String(), name+" ") {
			t.Errorf("the progress has no line for %s:\n%s", name, progress.String())
		}
	}
	for _, result := range summary.Results {
		if result.Verdicts[load.Good] == 0 || result.Verdicts[load.Wrong] != 0 || result.Repeated != 0 {
			t.Errorf("%s: verdicts %v, %d ran twice", result.Deployment, result.Verdicts, result.Repeated)
		}
	}
	for _, name := range []string{"timeline.txt", "timeline.html"} {
		if written, err := os.ReadFile(filepath.Join(folder, name)); err != nil || len(written) == 0 {
			t.Errorf("%s: %d bytes, %v", name, len(written), err)
		}
	}
}

func TestDemoRefusesADurationTooShortToStart(t *testing.T) {
	if _, err := demo.New(demo.WithDuration(time.Second)).Run(t.Context()); err == nil {
		t.Fatal("a demo of one second was accepted")
	}
}
