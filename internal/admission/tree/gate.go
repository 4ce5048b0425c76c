package tree

import (
	"math"
	"time"

	"sapphirespread.example/internal/admission/room"
	"sapphirespread.example/priority"
)

// holdEndDelay is the time without a refusal after which a service counts as no longer short of room. It keeps the
// events few where the demand is about what the service has room for.
const holdEndDelay = 5 * time.Second

// maxHolds is the number of services for which refusals are counted.
const maxHolds = 128

// attemptsPerSuccess is how many trees may begin for one that is expected to be answered whole, as many as the throttle
// of an entry lets through.
const attemptsPerSuccess = 8

// A Gate decides which root requests begin. It refuses one that a service below has no room for, before its first call,
// so that nothing is spent on it. Roots of an unknown callee, and those whose services have sent no report lately, begin.
// The caller must serialize all calls with one lock.
type Gate struct {
	model  *Model
	board  *room.Board
	events func(Event)
	holds  map[string]*hold
}

// hold counts the root requests that were refused for one service.
type hold struct {
	refused  uint64
	slotTime time.Duration // that the refused roots would have taken
	last     time.Time
	active   bool
}

// An Event says that root requests begin or cease to be held back for a service.
type Event struct {
	Service  string
	Holding  bool
	Callee   priority.Callee // of the request that caused the event
	Expected Cost            // of that request at the service
	Refused  uint64          // for the service, since the start
}

// A Decision is whether a root request is refused before it begins. Shed is the share of the requests with its priority
// and workspace that are held back, and Scarcest what it would cost at the service that holds back the most, if any does.
// Hopeless reports that the services have room, but their backend servers turn so many calls away that hardly a tree is
// answered whole.
type Decision struct {
	Refused  bool
	Shed     float64
	Scarcest Cost
	Hopeless bool
}

// Held is what was refused for one service since the start.
type Held struct {
	Requests uint64        `json:"requests"`
	SlotTime time.Duration `json:"slot-time-ns"` // that they would have taken at the service
	Now      bool          `json:"now"`
}

// A GateOption configures a Gate.
type GateOption func(*Gate)

// WithEvents makes the gate call handle at each event.
func WithEvents(handle func(Event)) GateOption {
	return func(g *Gate) { g.events = handle }
}

// NewGate returns a Gate without observations, which refuses nothing.
func NewGate(options ...GateOption) *Gate {
	g := &Gate{model: NewModel(), board: room.NewBoard(), events: func(Event) {}, holds: make(map[string]*hold)}
	for _, option := range options {
		option(g)
	}
	return g
}

// Decide decides whether a root request to callee may begin.
func (g *Gate) Decide(now time.Time, callee priority.Callee, origin priority.Origin) Decision {
	var decision Decision
	whole, worst, mostTurnedAway := 1.0, Cost{}, 0.0
	for _, cost := range g.model.Expected(callee) {
		if turnedAway := g.board.TurnedAway(now, cost.Service); turnedAway > 0 {
			whole *= math.Pow(1-turnedAway, cost.Calls)
			if turnedAway > mostTurnedAway {
				worst, mostTurnedAway = cost, turnedAway
			}
		}
		if share := g.board.Cut(cost.Service).ShareAt(now, origin); share > decision.Shed {
			decision.Shed, decision.Scarcest = share, cost
		}
		g.endHold(now, callee, cost)
	}
	if share := 1 - whole*attemptsPerSuccess; share > decision.Shed {
		decision.Shed, decision.Scarcest, decision.Hopeless = share, worst, true
	}
	// The hash is the same for all services, so the largest share decides for all of them.
	if decision.Refused = origin.ShedBy(decision.Shed); decision.Refused {
		g.refused(now, callee, decision.Scarcest)
	}
	return decision
}

// endHold ends the hold of a service for which nothing was refused lately.
func (g *Gate) endHold(now time.Time, callee priority.Callee, cost Cost) {
	if h := g.holds[cost.Service]; h != nil && h.active && now.Sub(h.last) > holdEndDelay {
		h.active = false
		g.events(Event{Service: cost.Service, Callee: callee, Expected: cost, Refused: h.refused})
	}
}

func (g *Gate) refused(now time.Time, callee priority.Callee, cost Cost) {
	h := g.holds[cost.Service]
	if h == nil && len(g.holds) >= maxHolds {
		return
	}
	if h == nil {
		h = &hold{}
		g.holds[cost.Service] = h
	}
	h.refused++
	h.slotTime += cost.SlotTime
	h.last = now
	if !h.active {
		h.active = true
		g.events(Event{Service: cost.Service, Holding: true, Callee: callee, Expected: cost, Refused: h.refused})
	}
}

// Observe records what one call of callee that was answered well has cost.
func (g *Gate) Observe(callee priority.Callee, costs []Cost) {
	g.model.Observe(callee, costs)
}

// Record adds the report of a target.
func (g *Gate) Record(now time.Time, r room.Report) {
	g.board.Record(now, r)
}

// Reports returns the latest report of each service below callee that its calls need.
func (g *Gate) Reports(now time.Time, callee priority.Callee) []room.Report {
	var reports []room.Report
	for _, cost := range g.model.Expected(callee) {
		if cost.Service == callee.Service {
			continue
		}
		if r, counts := g.board.Latest(now, cost.Service); counts {
			reports = append(reports, r)
		}
	}
	return reports
}

// Held returns what was refused, by service.
func (g *Gate) Held() map[string]Held {
	held := make(map[string]Held, len(g.holds))
	for service, h := range g.holds {
		held[service] = Held{Requests: h.refused, SlotTime: h.slotTime, Now: h.active}
	}
	return held
}
