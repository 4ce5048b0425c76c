package claim_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sapphirespread.example/claim"
)

// traceRunner applies the commands of a trace file to a registry. A key is given as key=TEXT, or as timed=DURATION for
// a UUID of version 7 with that time after the epoch. at=DURATION is the log time after the epoch.
type traceRunner struct {
	*testing.T
	registry *claim.Registry
}

func (tr *traceRunner) duration(d *datadriven.TestData, name string) time.Duration {
	text := "0s"
	d.MaybeScanArgs(tr.T, name, &text)
	parsed, err := time.ParseDuration(text)
	if err != nil {
		d.Fatalf(tr.T, "%s: %v", name, err)
	}
	return parsed
}

func (tr *traceRunner) key(d *datadriven.TestData) claim.Key {
	k := claim.Key{Workspace: "oslo", Route: "book"}
	d.MaybeScanArgs(tr.T, "workspace", &k.Workspace)
	d.MaybeScanArgs(tr.T, "key", &k.IdempotencyKey)
	if d.HasArg("timed") {
		k.IdempotencyKey = timedKey(epoch.Add(tr.duration(d, "timed")), 0)
	}
	return k
}

func (tr *traceRunner) claim(d *datadriven.TestData, at time.Time, attempt string) string {
	hash := 1
	d.MaybeScanArgs(tr.T, "hash", &hash)
	state, outcome := tr.registry.Claim(at, tr.key(d), attempt, [32]byte{byte(hash)})
	if outcome == nil {
		return string(state)
	}
	return fmt.Sprintf("%s status=%d headers=%d body=%d kept=%v", state, outcome.Status, len(outcome.Headers), len(outcome.Body), outcome.BodyKept)
}

func (tr *traceRunner) finish(d *datadriven.TestData, at time.Time, attempt string) string {
	status, body, header := 200, 0, 0
	d.MaybeScanArgs(tr.T, "status", &status)
	d.MaybeScanArgs(tr.T, "body", &body)
	d.MaybeScanArgs(tr.T, "header", &header)
	outcome := claim.Outcome{Status: status, Body: make([]byte, body), BodyKept: true}
	outcome.Headers = []claim.Header{{Name: "X", Values: []string{string(bytes.Repeat([]byte{0xff}, header))}}}
	return fmt.Sprint(tr.registry.Finish(at, tr.key(d), attempt, outcome))
}

func (tr *traceRunner) restore(options []claim.RegistryOption) string {
	snapshot := encoded(tr.T, tr.registry)
	tr.registry = claim.NewRegistry(options...)
	if err := tr.registry.UnmarshalBinary(snapshot); err != nil {
		return err.Error()
	}
	if !bytes.Equal(encoded(tr.T, tr.registry), snapshot) {
		return "restored registry differs"
	}
	return "same"
}

func TestTraces(t *testing.T) {
	datadriven.Walk(t, "testdata/traces", func(t *testing.T, path string) {
		options := []claim.RegistryOption{claim.WithMaximumKeys(5, 3), claim.WithMaximumUntimedKeys(2), claim.WithMaximumOutcomeBytes(100)}
		tr := &traceRunner{T: t, registry: claim.NewRegistry(options...)}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			tr.T = t
			attempt := ""
			d.MaybeScanArgs(t, "attempt", &attempt)
			at := epoch.Add(tr.duration(d, "at"))
			switch d.Cmd {
			case "claim":
				return tr.claim(d, at, attempt)
			case "release":
				return fmt.Sprint(tr.registry.Release(at, tr.key(d), attempt))
			case "finish":
				return tr.finish(d, at, attempt)
			case "recover":
				tr.registry.Recover(at, d.HasArg("run-untimed"))
				return ""
			case "expire":
				return fmt.Sprint(tr.registry.Expire(at))
			case "stats":
				return fmt.Sprintf("%+v", tr.registry.Stats())
			case "restore":
				return tr.restore(options)
			default:
				d.Fatalf(t, "unknown command %q", d.Cmd)
				return ""
			}
		})
	})
}
