package quarantine_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sapphirespread.example/quarantine"
)

// TestTraces replays calls of a register and compares their results. Each input line is "TIME CALL ARGUMENTS". The call
// "held" prints the states of the named fingerprints.
func TestTraces(t *testing.T) {
	datadriven.RunTest(t, "testdata/register", func(t *testing.T, d *datadriven.TestData) string {
		register := quarantine.NewRegister()
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			fields := strings.Fields(line)
			after, err := time.ParseDuration(fields[0])
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&out, "%s %s\n", strings.Join(fields[:2], " "), replay(register, start.Add(after), fields[1], fields[2:]))
		}
		return out.String()
	})
}

func replay(r *quarantine.Register, at time.Time, call string, args []string) string {
	of := func(name string) quarantine.Fingerprint { return quarantine.NewFingerprint([]byte(name)) }
	switch call {
	case "crash":
		var fps []quarantine.Fingerprint
		for _, name := range args[2:] {
			fps = append(fps, of(name))
		}
		return fmt.Sprint(len(r.RecordCrash(at, args[0], args[1], fps)), " accused")
	case "trial":
		return fmt.Sprint(r.RequestTrial(at, of(args[0]), args[1]))
	case "ran":
		return fmt.Sprint(r.RecordCompletion(at, of(args[0]), args[1]))
	case "end-trial":
		return fmt.Sprint(r.EndTrial(at, of(args[0]), args[1]))
	case "release":
		return fmt.Sprint(r.Release(at, of(args[0])))
	case "expire":
		return fmt.Sprint(r.Expire(at), " changed")
	default:
		return formatStates(r, args)
	}
}

// formatStates formats the states of the named fingerprints.
func formatStates(r *quarantine.Register, names []string) string {
	var states []string
	for _, name := range names {
		state := quarantine.Clear
		for _, e := range r.Entries() {
			if e.Fingerprint == quarantine.NewFingerprint([]byte(name)) {
				state = e.State
			}
		}
		states = append(states, name+"="+string(state))
	}
	return strings.Join(states, " ")
}
