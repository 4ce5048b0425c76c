package cmd_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"

	"sapphirespread.example/internal/cmd"
)

func TestLoadCommandsRefuseWrongUse(t *testing.T) {
	for _, c := range []struct{ args, want string }{
		{"measure --scenario flood", `unknown scenario "flood"`},
		{"measure --deployment kites", `unknown deployment "kites"`},
		{"measure --systems none,others", `unknown system "others"`},
		{"measure --scale 0", "--scale"},
		{"measure --output yaml", "yaml"},
		{"demo --duration 1s", "--duration"},
		{"standin", "service"},
		{"standin --service booking --listen nowhere", "--listen"},
		{"standin --service booking --distribution flat", `unknown distribution "flat"`},
		{"standin --service booking --slots 0", "--slots"},
		{"standin --service booking --call payment", "--call"},
		{"standin --service booking --call payment\tGET\t/free", "want --daemon"},
	} {
		var stderr bytes.Buffer
		args := strings.Split(c.args, " ")
		if status := cmd.Main(t.Context(), args, io.Discard, &stderr); status != 2 || !strings.Contains(stderr.String(), c.want) {
			t.Errorf("%s: status %d, %q; want 2 and %q", c.args, status, stderr.String(), c.want)
		}
	}
}

func TestMeasurePrintsAResultForEachSystem(t *testing.T) {
	var stdout bytes.Buffer
	args := strings.Fields("measure --scenario steady --systems none,fixed --scale 0.02 --before 100ms --trigger 100ms --after 100ms --output json")
	if status := cmd.Main(t.Context(), args, &stdout, io.Discard); status != 0 {
		t.Fatalf("status %d", status)
	}
	var results []struct {
		System string  `json:"system"`
		Best   float64 `json:"best-goodput"`
		Scale  float64 `json:"scale"`
	}
	if err := json.Unmarshal(stdout.Bytes(), &results); err != nil {
		t.Fatal(err)
	}
	if len(results) != 2 || results[0].System != "none" || results[1].System != "fixed" || results[0].Best <= 0 || results[0].Scale != 0.02 {
		t.Fatalf("results %+v", results)
	}
}

// cancelingWriter cancels the context of a command at its first output, the address at which it listens.
type cancelingWriter struct {
	bytes.Buffer
	cancel context.CancelFunc
}

func (w *cancelingWriter) Write(content []byte) (int, error) {
	defer w.cancel()
	return w.Buffer.Write(content)
}

func TestStandinSaysWhereItListensAndStops(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	stdout := &cancelingWriter{cancel: cancel}
	if status := cmd.Main(ctx, []string{"standin", "--service", "booking"}, stdout, io.Discard); status != 0 {
		t.Fatalf("status %d", status)
	}
	if !strings.HasPrefix(stdout.String(), "standin: booking listens at 127.0.0.1:") {
		t.Fatalf("printed %q", stdout.String())
	}
}
