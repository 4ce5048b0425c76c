package trace

import (
	"slices"
	"sync"
	"time"

	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/priority"
)

// A Targets records the calls of a target.Table and its target.Chooser, one after the other.
type Targets struct {
	*target.Table
	chooser *target.Chooser
	start   time.Time
	mu      sync.Mutex
	stream  *Stream[TargetStep]
}

// ReplayTargets repeats steps at a new table, with a chooser of the given failure domain and daemon, and
// returns them with the choices.
func ReplayTargets(start time.Time, failureDomain, daemon string, steps []TargetStep) []TargetStep {
	table := target.NewTable()
	chooser := target.NewChooser(table, target.WithFailureDomain(failureDomain), target.WithDaemon(daemon))
	t := &Targets{Table: table, chooser: chooser, start: start, stream: newStream[TargetStep](len(steps))}
	for _, step := range steps {
		step.take(t)
	}
	return t.stream.Steps()
}

// Apply records a delta of the table.
func (t *Targets) Apply(epoch, from, to uint64, whole bool, changes []target.Change) error {
	return t.apply(time.Now(), epoch, from, to, whole, changes)
}

func (t *Targets) apply(now time.Time, epoch, from, to uint64, whole bool, changes []target.Change) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	err := t.Table.Apply(epoch, from, to, whole, changes)
	t.stream.add(TargetStep{
		At: now.Sub(t.start), Call: Apply, Epoch: epoch, From: from, To: to, Whole: whole, Changes: changesOf(changes), Err: err,
	})
	return err
}

// Choose records a choice.
func (t *Targets) Choose(now time.Time, random uint64, service string, origin priority.Origin, exclude []string) (choice target.Choice, ok, shed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	choice, ok, shed = t.chooser.Choose(now, random, service, origin, exclude)
	t.stream.add(TargetStep{
		At: now.Sub(t.start), Call: Choose, Random: random, Service: service, WholeHash: origin.RootHash, Priority: origin.Priority,
		Workspace: origin.Workspace, Exclude: slices.Clone(exclude), Choice: choice, Found: ok, Shed: shed,
	})
	return choice, ok, shed
}

// Sent records that a call goes out.
func (t *Targets) Sent(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.chooser.Sent(now, name)
	t.stream.add(TargetStep{At: now.Sub(t.start), Call: Sent, Name: name})
}

// Answered records how a call ended.
func (t *Targets) Answered(now time.Time, name string, o target.Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.chooser.Answered(now, name, o)
	t.stream.add(TargetStep{At: now.Sub(t.start), Call: Answered, Name: name, Observation: observationOf(t.start, o)})
}

// RecordHeartbeat records a heartbeat.
func (t *Targets) RecordHeartbeat(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.chooser.RecordHeartbeat(now, name)
	t.stream.add(TargetStep{At: now.Sub(t.start), Call: Heard, Name: name})
}

// Level returns what half of the targets of service shed at least; it is not recorded.
func (t *Targets) Level(now time.Time, service string) priority.Level {
	return t.chooser.Level(now, service)
}
