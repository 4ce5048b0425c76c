package daemon

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"sapphirespread.example/configuration"
	"sapphirespread.example/internal/admission/returning"
	"sapphirespread.example/internal/admission/room"
	"sapphirespread.example/internal/admission/tree"
	"sapphirespread.example/internal/membership/target"
	"sapphirespread.example/priority"
	"sapphirespread.example/refusal"
)

// scarceServices refuses requests of callers that a service further down has no room for, before their first call. It
// does nothing until the settings or the configuration in force ask for it.
type scarceServices struct {
	on   atomic.Bool
	mu   sync.Mutex
	gate *tree.Gate
	// lines tells refused callers when to return.
	lines *returning.Lines
	// turnedAway is of the own backend server.
	turnedAway room.TurnedAway
}

func newScarceServices(logger zerolog.Logger, on bool) *scarceServices {
	s := &scarceServices{lines: returning.NewLines(), gate: tree.NewGate(tree.WithEvents(func(e tree.Event) { logHold(logger, e) }))}
	s.on.Store(on)
	return s
}

// logHold logs that requests begin or cease to be held back for a service.
func logHold(logger zerolog.Logger, e tree.Event) {
	text := "entry: requests are no longer held back for a service"
	if e.Holding {
		text = "entry: requests are held back for a service without room"
	}
	logger.Info().Str("service", e.Service).Str("called-service", e.Callee.Service).Str("route", e.Callee.Route).
		Float64("calls", e.Expected.Calls).Dur("slot-ms", e.Expected.SlotTime).Uint64("refused", e.Refused).Msg(text)
}

func (s *scarceServices) enabled() bool { return s.on.Load() }

// admissionOptions returns the options of the admission at the own target.
func (s *scarceServices) admissionOptions() []priority.AdmissionOption {
	if !s.enabled() {
		return nil
	}
	return []priority.AdmissionOption{priority.WithTreeDemand(), priority.WithBegunFirst()}
}

// planEntries turns the refusals at the entry on once the configuration asks for them. They stay on until the daemon
// restarts, since the admission measures its demand otherwise from then on.
func (d *Daemon) planEntries(snapshot configuration.Snapshot) {
	wanted := slices.ContainsFunc(snapshot.Set.Services, func(s configuration.Service) bool { return s.PlanEntries })
	if !wanted || d.scarce.on.Swap(true) {
		return
	}
	d.admitter.locked(func() { d.ownAdmission.Apply(d.scarce.admissionOptions()...) })
	d.logger.Info().Uint64("revision", snapshot.Revision).Msg("entry: requests are planned by the room of the services below")
}

// check returns a refusal if c is a root request that a service below has no room for, or nil.
func (s *scarceServices) check(c *call) *attemptError {
	if !s.enabled() || c.nested {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	decision := s.gate.Decide(now, c.callee(), c.origin())
	line := returning.Key{Service: decision.Scarcest.Service, Rank: c.priority}
	if decision.Refused {
		refused := refuse(refusal.Overloaded, "no room below in "+line.Service)
		if decision.Hopeless {
			refused.detail = "nearly all calls below are turned away by " + line.Service
		}
		if wait := s.lines.RetryAfter(now, line, decision.Scarcest.SlotTime, c.objective, rand.Float64()); wait > 0 {
			refused.retryAfter, refused.spread = wait, true
		}
		return refused
	}
	if decision.Shed > 0 {
		s.lines.Began(now, line, decision.Scarcest.SlotTime)
	}
	c.shedShare = max(c.shedShare, decision.Shed)
	return nil
}

// recordReport records what the target of an attempt reported. The caller must hold a.mu.
func (s *scarceServices) recordReport(now time.Time, a *attempt) {
	reached := a.report.handlingTime > 0 || a.daemon.isOwn(a.target)
	if !s.enabled() || !reached {
		return
	}
	c := a.call
	succeeded := a.kind == target.OK && len(a.report.costs) > 0
	if succeeded && c.parent != nil {
		c.parent.addCosts(a.report.costs)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if succeeded && !a.daemon.isOwn(a.target) {
		s.gate.Observe(c.callee(), a.report.costs)
	}
	s.gate.Record(now, room.NewReport(now, c.service, a.target.Name, a.report.level, a.report.turnedAway))
	for _, r := range a.report.rooms {
		s.gate.Record(now, r)
	}
}

// recordRun records and returns the costs of a run at the own target that was answered well.
func (s *scarceServices) recordRun(c *call, slotTime time.Duration) []tree.Cost {
	if !s.enabled() {
		return nil
	}
	costs := c.costs(slotTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.gate.Observe(c.callee(), costs)
	return costs
}

// recordTurnedAway records whether the own backend server turned a call away.
func (s *scarceServices) recordTurnedAway(turnedAway bool) {
	if !s.enabled() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnedAway.Observe(time.Now(), turnedAway)
}

// addRooms adds to a report of the own target what its backend server turns away, and what the services below that calls
// to callee need have room for.
func (s *scarceServices) addRooms(now time.Time, callee priority.Callee, report *callReport) {
	if !s.enabled() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	report.turnedAway = s.turnedAway.Share(now)
	report.rooms = s.gate.Reports(now, callee)
}

// held returns the requests that were held back, by service.
func (s *scarceServices) held() map[string]tree.Held {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.gate.Held()
}
