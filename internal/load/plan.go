package load

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/joomcode/errorx"
)

// An Arrival is one planned request.
type Arrival struct {
	At        time.Duration
	Workspace int
	Route     int
}

// A Plan is the load of one run; equal plans have equal arrivals.
type Plan struct {
	Seed       uint64
	Duration   time.Duration
	Workspaces []Workspace
	Routes     []Route
	Phases     []Phase
}

// Check returns an error where the plan can't be carried out.
func (p Plan) Check() error {
	if p.Duration <= 0 || len(p.Workspaces) == 0 || len(p.Routes) == 0 {
		return errorx.IllegalArgument.New("a plan needs a duration, a workspace and a route")
	}
	for _, workspace := range p.Workspaces {
		if workspace.Rate < 0 {
			return errorx.IllegalArgument.New("workspace %q: rate %v is below 0", workspace.Name, workspace.Rate)
		}
	}
	if p.weight() <= 0 {
		return errorx.IllegalArgument.New("the routes have no weight")
	}
	return nil
}

// Arrivals returns all requests in the order of their times: for each workspace a Poisson process
// whose rate follows the phases.
func (p Plan) Arrivals() []Arrival {
	var arrivals []Arrival
	for i := range p.Workspaces {
		arrivals = append(arrivals, p.arrivalsOf(i)...)
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	return arrivals
}

// arrivalsOf draws candidates at the highest rate and keeps the share that the phases ask for.
func (p Plan) arrivalsOf(index int) []Arrival {
	workspace := p.Workspaces[index]
	random := rand.New(rand.NewPCG(p.Seed, uint64(index)))
	highest := workspace.Rate * p.highestFactor(workspace.Name)
	if highest <= 0 {
		return nil
	}
	var arrivals []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / highest * float64(time.Second))
		if at >= p.Duration {
			return arrivals
		}
		keep := random.Float64()
		route := p.pickRoute(random)
		if keep*highest < workspace.Rate*p.factor(at, workspace.Name) {
			arrivals = append(arrivals, Arrival{At: at, Workspace: index, Route: route})
		}
	}
}

func (p Plan) factor(at time.Duration, workspace string) float64 {
	factor := 1.0
	for _, phase := range p.Phases {
		if phase.covers(at, workspace) {
			factor *= phase.Factor
		}
	}
	return factor
}

func (p Plan) highestFactor(workspace string) float64 {
	highest := max(p.factor(0, workspace), 1)
	for _, phase := range p.Phases {
		highest = max(highest, p.factor(phase.From, workspace))
	}
	return highest
}

func (p Plan) weight() float64 {
	sum := 0.0
	for _, route := range p.Routes {
		sum += route.Weight
	}
	return sum
}

func (p Plan) pickRoute(random *rand.Rand) int {
	drawn := random.Float64() * p.weight()
	for i, route := range p.Routes {
		if drawn -= route.Weight; drawn < 0 {
			return i
		}
	}
	return len(p.Routes) - 1
}
