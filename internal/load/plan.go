package load

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/joomcode/errorx"
)

// Arrival is one planned request, with its time in the run and the indexes of its workspace and route.
type Arrival struct {
	At        time.Duration
	Workspace int
	Route     int
}

// Plan describes the load of one run; equal plans have equal arrivals.
type Plan struct {
	Seed       uint64
	Duration   time.Duration
	Workspaces []Workspace
	Routes     []Route
	Phases     []Phase
}

// Check returns an error if the plan has no duration, workspace, route or route weight, or if a rate is negative.
func (p Plan) Check() error {
	if p.Duration <= 0 || len(p.Workspaces) == 0 || len(p.Routes) == 0 {
		return errorx.IllegalArgument.New("a plan needs a duration, a workspace and a route")
	}
	for _, workspace := range p.Workspaces {
		if workspace.Rate < 0 {
			return errorx.IllegalArgument.New("workspace %q: negative rate %v", workspace.Name, workspace.Rate)
		}
	}
	if p.totalWeight() <= 0 {
		return errorx.IllegalArgument.New("the sum of the route weights is not positive")
	}
	return nil
}

// Arrivals returns all requests in order of arrival, generated for each workspace by a Poisson process whose rate
// follows the phases.
func (p Plan) Arrivals() []Arrival {
	var arrivals []Arrival
	for i := range p.Workspaces {
		arrivals = append(arrivals, p.arrivalsOf(i)...)
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	return arrivals
}

// arrivalsOf draws candidates at the maximum rate and keeps each with the probability that yields the current
// rate.
func (p Plan) arrivalsOf(index int) []Arrival {
	workspace := p.Workspaces[index]
	random := rand.New(rand.NewPCG(p.Seed, uint64(index)))
	maxRate := workspace.Rate * p.maxRateFactor(workspace.Name)
	if maxRate <= 0 {
		return nil
	}
	var arrivals []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / maxRate * float64(time.Second))
		if at >= p.Duration {
			return arrivals
		}
		keep := random.Float64()
		route := p.pickRoute(random)
		if keep*maxRate < workspace.Rate*p.rateFactor(at, workspace.Name) {
			arrivals = append(arrivals, Arrival{At: at, Workspace: index, Route: route})
		}
	}
}

func (p Plan) rateFactor(at time.Duration, workspace string) float64 {
	factor := 1.0
	for _, phase := range p.Phases {
		if phase.covers(at, workspace) {
			factor *= phase.Factor
		}
	}
	return factor
}

func (p Plan) maxRateFactor(workspace string) float64 {
	highest := max(p.rateFactor(0, workspace), 1)
	for _, phase := range p.Phases {
		highest = max(highest, p.rateFactor(phase.From, workspace))
	}
	return highest
}

func (p Plan) totalWeight() float64 {
	sum := 0.0
	for _, route := range p.Routes {
		sum += route.Weight
	}
	return sum
}

func (p Plan) pickRoute(random *rand.Rand) int {
	drawn := random.Float64() * p.totalWeight()
	for i, route := range p.Routes {
		if drawn -= route.Weight; drawn < 0 {
			return i
		}
	}
	return len(p.Routes) - 1
}
