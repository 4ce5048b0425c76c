package trace

import (
	"slices"
	"sync"
	"time"

	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/priority"
)

// A Targets serializes and records the calls to a target.Table and its target.Chooser.
type Targets struct {
	*target.Table
	chooser *target.Chooser
	start   time.Time
	mu      sync.Mutex
	stream  *Stream[TargetStep]
}

// ReplayTargets replays steps against a new table and a chooser with the given failure domain and daemon, and returns
// them with the resulting choices.
func ReplayTargets(start time.Time, failureDomain, daemon string, steps []TargetStep) []TargetStep {
	table := target.NewTable()
	chooser := target.NewChooser(table, target.WithFailureDomain(failureDomain), target.WithDaemon(daemon))
	t := &Targets{Table: table, chooser: chooser, start: start, stream: newStream[TargetStep](len(steps))}
	for _, step := range steps {
		step.replay(t)
	}
	return t.stream.Steps()
}

// Apply applies a delta to the table and records the call.
func (t *Targets) Apply(epoch, from, to uint64, full bool, changes []target.Change) error {
	return t.applyAt(time.Now(), epoch, from, to, full, changes)
}

func (t *Targets) applyAt(now time.Time, epoch, from, to uint64, full bool, changes []target.Change) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	err := t.Table.Apply(epoch, from, to, full, changes)
	t.stream.add(TargetStep{
		At: now.Sub(t.start), Call: Apply, Epoch: epoch, From: from, To: to, Whole: full, Changes: newTargetChanges(changes), Err: err,
	})
	return err
}

// Choose chooses a target of the service and records the call.
func (t *Targets) Choose(now time.Time, random uint64, service string, origin priority.Origin, exclude []string) (choice target.Choice, found, shed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	choice, found, shed = t.chooser.Choose(now, random, service, origin, exclude)
	t.stream.add(TargetStep{
		At: now.Sub(t.start), Call: Choose, Random: random, Service: service, RootHash: origin.RootHash, Priority: origin.Priority,
		Workspace: origin.Workspace, Exclude: slices.Clone(exclude), Choice: choice, Found: found, Shed: shed,
	})
	return choice, found, shed
}

// Sent reports a request sent to the named target and records the call.
func (t *Targets) Sent(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.chooser.Sent(now, name)
	t.stream.add(TargetStep{At: now.Sub(t.start), Call: Sent, Name: name})
}

// Answered reports the result of a request to the named target and records the call.
func (t *Targets) Answered(now time.Time, name string, o target.Observation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.chooser.Answered(now, name, o)
	t.stream.add(TargetStep{At: now.Sub(t.start), Call: Answered, Name: name, Observation: newTargetObservation(t.start, o)})
}

// RecordHeartbeat reports a heartbeat of the named target and records the call.
func (t *Targets) RecordHeartbeat(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.chooser.RecordHeartbeat(now, name)
	t.stream.add(TargetStep{At: now.Sub(t.start), Call: RecordHeartbeat, Name: name})
}

// Routing returns the statistics of the services whose targets report their load. The call is not recorded.
func (t *Targets) Routing() map[string]target.RoutingStats { return t.chooser.Routing() }

// SetOutOfUse sets the failure domains that are out of use and records the call.
func (t *Targets) SetOutOfUse(domains []string) { t.setOutOfUseAt(time.Now(), domains) }

func (t *Targets) setOutOfUseAt(now time.Time, domains []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.chooser.SetOutOfUse(domains)
	t.stream.add(TargetStep{At: now.Sub(t.start), Call: SetOutOfUse, Domains: slices.Clone(domains)})
}

// Level returns the median shed level of the targets of the service. The call is not recorded.
func (t *Targets) Level(now time.Time, service string) priority.Level {
	return t.chooser.Level(now, service)
}
