package cmd_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/cmd"
	"sapphirespread.example/internal/operator"
)

// TestCommands runs the scripts in testdata against an in-memory system. Their directives are:
//   - "run" runs one command per line.
//   - "file" writes a file and "cat" reads one, in the folder that $DIR stands for.
//   - "lose" drops the response to the next publish after the publish took effect.
//   - "behind" reports the daemon at the previous revision for a number of polls.
//   - "race" publishes a revision between the next read and the next publish.
func TestCommands(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newScript(t)
		datadriven.RunTest(t, path, s.run)
	})
}

type script struct {
	folder string
	api    *faultyAPI
}

func newScript(t *testing.T) *script {
	t.Setenv("SAPPHIRESPREAD_CONTROL", "127.0.0.1:7102,127.0.0.1:7202")
	t.Setenv("SAPPHIRESPREAD_AUTHOR", "kari")
	address := netip.MustParseAddrPort("10.0.0.1:7101")
	memory := operator.NewMemory(
		func() time.Time { return time.Date(2026, 5, 2, 8, 0, 0, 0, time.UTC) },
		operator.WithTargets(operator.Target{Name: "courts-1", Service: "courts", FailureDomain: "east", Daemon: "oslo-1", Address: address, State: "ready", Slots: 80}),
		operator.WithQuarantine(operator.QuarantineEntry{Fingerprint: strings.Repeat("0a", 16), State: "quarantined", Remaining: time.Minute, Crashes: []string{"one", "two"}}),
		operator.WithMembers(operator.Member{Name: "control-1", Address: address, Role: operator.RoleLeader, Match: 9}),
		operator.WithStatus(operator.Status{Process: "control-1", Cluster: "banevakt", Leader: "control-1", Term: 2, Applied: 9, Daemons: []operator.Daemon{{Name: "oslo-1", FailureDomain: "east", OperatorsAddress: address}}}),
	)
	return &script{folder: t.TempDir(), api: &faultyAPI{API: operator.NewAPI(memory)}}
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	var path string
	d.MaybeScanArgs(t, "path", &path)
	path = filepath.Join(s.folder, path)
	switch d.Cmd {
	case "file":
		if err := errors.Join(os.MkdirAll(filepath.Dir(path), 0o700), os.WriteFile(path, []byte(d.Input), 0o600)); err != nil {
			t.Fatal(err)
		}
		return ""
	case "cat":
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		return string(text)
	case "lose":
		s.api.loseResponse = true
		return ""
	case "behind":
		d.ScanArgs(t, "polls", &s.api.outdatedPolls)
		return ""
	case "race":
		s.api.publishInBetween = true
		return ""
	case "run":
		var b strings.Builder
		for line := range strings.Lines(d.Input) {
			b.WriteString(s.command(t, line))
		}
		return b.String()
	}
	t.Fatalf("unknown command %s", d.Cmd)
	return ""
}

func (s *script) command(t *testing.T, line string) string {
	var stdout, stderr bytes.Buffer
	app := cmd.New(&stdout, &stderr,
		cmd.WithAPI(func([]netip.AddrPort) operator.API { return s.api }),
		cmd.WithProcess(func(address netip.AddrPort) operator.Process {
			if lines := processEvents[address.Port()]; lines != "" {
				return operator.NewMemory(time.Now, operator.WithEvents([]byte(lines)))
			}
			return operator.NewClient(nil)
		}),
		cmd.WithRandom(bytes.NewReader(bytes.Repeat([]byte{1}, 64))),
	)
	status := app.Run(t.Context(), strings.Fields(strings.ReplaceAll(line, "$DIR", s.folder)))
	text := fmt.Sprintf("%s%sstatus %d\n", &stdout, &stderr, status)
	return strings.ReplaceAll(text, s.folder, "$DIR")
}

// processEvents holds the events of each process that responds, by the port of its operators address.
var processEvents = map[uint16]string{
	7101: `{"at":{"wall":"2026-05-02T08:00:00.002Z","logical":0},"process":"oslo-1","part":"configuration","text":"revision 1 in force"}`,
	7102: `{"at":{"wall":"2026-05-02T08:00:00.001Z","logical":1},"process":"control-1","part":"configuration","text":"revision 1 accepted"}
{"at":{"wall":"2026-05-02T08:00:00.003Z","logical":0},"process":"control-1","part":"replica","text":"leads in term 2"}`,
	7302: `{"at":{"wall":"2026-05-02T08:00:00.001Z","logical":0},"process":"oslo-2","part":"daemon","text":"started"}
broken`,
}

// faultyAPI injects lost responses, concurrent publishes and an outdated daemon.
type faultyAPI struct {
	operator.API
	loseResponse, publishInBetween bool
	// outdatedPolls is the number of further polls that report the daemon at the previous revision.
	outdatedPolls int
}

func (f *faultyAPI) Status(ctx context.Context) (operator.Status, error) {
	status, err := f.API.Status(ctx)
	status.Daemons[0].Revision = status.Revision
	if f.outdatedPolls > 0 {
		f.outdatedPolls--
		status.Daemons[0].Revision--
	}
	return status, err
}

func (f *faultyAPI) Current(ctx context.Context) (operator.Revision, error) {
	current, err := f.API.Current(ctx)
	if f.publishInBetween {
		f.publishInBetween = false
		f.API.Publish(ctx, configuration.PublishRequest{ID: "race", Base: current.Number, Author: "ola", Set: current.Set})
	}
	return current, err
}

func (f *faultyAPI) Publish(ctx context.Context, request configuration.PublishRequest) (configuration.PublishResult, error) {
	result, err := f.API.Publish(ctx, request)
	if f.loseResponse {
		f.loseResponse = false
		return configuration.PublishResult{}, errors.New("no answer in time")
	}
	return result, err
}

func TestNoControlInstanceIsWrongUse(t *testing.T) {
	t.Setenv("SAPPHIRESPREAD_CONTROL", "")
	var stdout, stderr bytes.Buffer
	if status := cmd.Main(t.Context(), []string{"status"}, &stdout, &stderr); status != 2 {
		t.Errorf("status %d: %s", status, &stderr)
	}
}
