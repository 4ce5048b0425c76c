package trace_test

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/internal/trace"
	"sapphirespread.example/limit"
	"sapphirespread.example/priority"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// TestFullRecordingKeepsFirstSteps checks that a full recording keeps its first steps and that a stopped recording
// records no more.
func TestFullRecordingKeepsFirstSteps(t *testing.T) {
	r := trace.NewRecorder(start, 2)
	a := r.Admission(priority.NewAdmission())
	h := r.Holder(limit.NewHolder())
	h.Wait(start, "club")
	r.Stop()
	h.Unwait("club")
	for id := range uint64(3) {
		a.Offer(at(time.Duration(id)), priority.Request{ID: id + 1, Share: 1})
	}
	steps := r.AdmissionSteps()
	if len(steps) != 0 || len(r.HolderSteps()) != 1 {
		t.Errorf("%d admission steps and %d holder steps after Stop, want 0 and 1", len(steps), len(r.HolderSteps()))
	}
	r = trace.NewRecorder(start, 2)
	a = r.Admission(priority.NewAdmission())
	for id := range uint64(3) {
		a.Offer(at(time.Duration(id)), priority.Request{ID: id + 1, Share: 1})
	}
	if steps = r.AdmissionSteps(); len(steps) != 2 || steps[0].ID != 1 || steps[1].ID != 2 {
		t.Errorf("recorded %+v, want the first two steps", steps)
	}
}

// TestMergedPollsReplayAsRecorded checks that merged empty polls lead to the recorded grant requests when replayed.
func TestMergedPollsReplayAsRecorded(t *testing.T) {
	r := trace.NewRecorder(start, trace.DefaultBound)
	h := r.Holder(limit.NewHolder())
	now := start
	poll := func(count int) {
		for range count {
			now = now.Add(3 * time.Millisecond)
			h.CollectReturns(now)
			h.GrantRequests(now)
		}
	}
	poll(20)
	h.Wait(now, "club")
	poll(20)
	h.Accept(now, limit.Grant{ID: 1, Workspace: "club", Tokens: 9, Duration: 500 * time.Millisecond})
	h.Spend(now, "club", 1)
	h.Unwait("club")
	poll(200)
	steps := r.HolderSteps()
	merged := trace.MergeEmptyPolls(steps)
	if len(merged) > len(steps)/10 {
		t.Errorf("%d steps shortened to %d", len(steps), len(merged))
	}
	if got, want := trace.Outcomes(trace.ReplayHolder(start, roundTrip(t, merged))), trace.Outcomes(steps); got != want || want == "" {
		t.Errorf("replayed:\n%s, want:\n%s", got, want)
	}
}

// roundTrip encodes steps and returns the decoded result.
func roundTrip[S any](t *testing.T, steps []S) []S {
	t.Helper()
	text, err := trace.Inputs(steps)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := trace.Parse[S](text)
	if err != nil {
		t.Fatal(err)
	}
	return decoded
}

// TestTextKeepsTheInputs checks that encoding and decoding preserve all inputs of a choice.
func TestTextKeepsTheInputs(t *testing.T) {
	r := trace.NewRecorder(start, trace.DefaultBound)
	table := target.NewTable()
	targets := r.Targets(table, target.NewChooser(table))
	changes := []target.Change{
		{Target: target.Target{Name: "t0", Service: "wind", Daemon: "d0", Incarnation: 1 << 62, Slots: 8, State: target.Ready}},
		{Target: target.Target{Name: "t1", Service: "wind", Incarnation: 2}, Removed: true},
	}
	if err := targets.Apply(1, 0, 1, true, changes); err != nil {
		t.Fatal(err)
	}
	level := priority.Level{Priority: 2, Share: 1.0 / 3, ValidUntil: at(time.Second)}
	level.Workspaces = []priority.WorkspaceShare{{Workspace: priority.HashWorkspace("club"), Share: 0.1}}
	targets.Choose(at(1), 1<<63+1, "wind", priority.Origin{RootHash: 1<<63 + 3, Priority: 2, Workspace: "club"}, []string{"t1"})
	targets.Sent(at(2), "t0")
	targets.Answered(at(3), "t0", target.Observation{Kind: target.OK, Latency: 1, Level: level})
	targets.RecordHeartbeat(at(4), "t0")
	targets.SetOutOfUse([]string{"east"})
	steps := r.TargetSteps()
	replayed := trace.ReplayTargets(start, "", "", roundTrip(t, steps))
	replayed[0].At = steps[0].At
	if !reflect.DeepEqual(replayed, steps) {
		t.Errorf("replayed %+v, want %+v", replayed, steps)
	}
	if _, err := trace.Parse[trace.TargetStep](`{"at":1,"call":"choose","key":"x"}`); err == nil {
		t.Error("a step with an unknown field was parsed without an error")
	}
}

type chooser interface {
	Choose(now time.Time, random uint64, service string, origin priority.Origin, exclude []string) (target.Choice, bool, bool)
}

type admission interface {
	Offer(now time.Time, r priority.Request) []priority.Verdict
	Done(now time.Time, id uint64, result priority.Result) []priority.Verdict
}

type holder interface {
	Spend(now time.Time, workspace string, tokens int64) bool
}

// BenchmarkOff compares direct calls with calls through an interface, which a daemon without a recorder makes.
func BenchmarkOff(b *testing.B) {
	a := priority.NewAdmission()
	table := target.NewTable()
	c := target.NewChooser(table)
	h := limit.NewHolder()
	var changes []target.Change
	for i := range 5 {
		changes = append(changes, target.Change{Target: target.Target{Name: fmt.Sprint("t", i), Service: "wind", State: target.Ready}})
	}
	if err := table.Apply(1, 0, 1, true, changes); err != nil {
		b.Fatal(err)
	}
	h.Wait(start, "club")
	h.GrantRequests(start)
	h.Accept(start, limit.Grant{ID: 1, Workspace: "club", Tokens: 1 << 30, Duration: time.Hour})
	done := priority.Result{Latency: time.Millisecond}
	for _, viaInterface := range []bool{false, true} {
		name := map[bool]string{false: "direct", true: "behind-interface"}[viaInterface]
		b.Run("admission/"+name, func(b *testing.B) {
			id := uint64(0)
			var decider admission = a
			for b.Loop() {
				id++
				if viaInterface {
					decider.Offer(start, priority.Request{ID: id, Share: 1})
					decider.Done(start, id, done)
					continue
				}
				a.Offer(start, priority.Request{ID: id, Share: 1})
				a.Done(start, id, done)
			}
		})
		b.Run("chooser/"+name, func(b *testing.B) {
			random := uint64(0)
			var decider chooser = c
			for b.Loop() {
				random += 0x9e3779b97f4a7c15
				if viaInterface {
					decider.Choose(start, random, "wind", priority.Origin{RootHash: random, Priority: 1}, nil)
					continue
				}
				c.Choose(start, random, "wind", priority.Origin{RootHash: random, Priority: 1}, nil)
			}
		})
		b.Run("holder/"+name, func(b *testing.B) {
			var decider holder = h
			for b.Loop() {
				if viaInterface {
					decider.Spend(start, "club", 1)
					continue
				}
				h.Spend(start, "club", 1)
			}
		})
	}
}
