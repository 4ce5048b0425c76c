package deployment

import (
	"math"
	"slices"

	"github.com/joomcode/errorx"
	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat/combin"
)

const feasibleSlack = 1e-9

// halfspace is one bound on the admitted rates of the routes: their weighted sum is at most limit.
type halfspace struct {
	weights []float64
	limit   float64
}

// BestGoodput returns the most whole requests a second that can be answered when offered requests a
// second arrive in the mix of the routes: the optimum over how many of each route are admitted.
func (d Deployment) BestGoodput(offered float64, impaired ...Impairment) (float64, error) {
	every := make([]float64, len(d.callerRoutes()))
	for i := range every {
		every[i] = 1
	}
	best, err := d.optimum(d.bounds(offered, impaired), every, offered)
	return floats.Sum(best), err
}

// BestByPriority returns how many requests a second of each route can be answered when all that can be answered
// of the more important routes come before those of the others.
func (d Deployment) BestByPriority(offered float64, impaired ...Impairment) ([]RouteRate, error) {
	routes := d.callerRoutes()
	bounds := d.bounds(offered, impaired)
	var rates []float64
	for _, level := range levelsOf(routes) {
		counted := make([]float64, len(routes))
		for i, route := range routes {
			if route.Priority.Level == level {
				counted[i] = 1
			}
		}
		var err error
		if rates, err = d.optimum(bounds, counted, offered); err != nil {
			return nil, err
		}
		bounds = append(bounds, atLeast(counted, floats.Dot(counted, rates)))
	}
	byRoute := make([]RouteRate, len(routes))
	for i, route := range routes {
		byRoute[i] = RouteRate{Route: route, Rate: rates[i]}
	}
	return byRoute, nil
}

// levelsOf returns the levels of the routes' priorities, the most important first.
func levelsOf(routes []Route) []int {
	var levels []int
	for _, route := range routes {
		levels = append(levels, route.Priority.Level)
	}
	slices.Sort(levels)
	return slices.Compact(levels)
}

// atLeast bounds the sum of the counted rates from below.
func atLeast(counted []float64, sum float64) halfspace {
	negative := make([]float64, len(counted))
	for i, c := range counted {
		negative[i] = -c
	}
	return halfspace{weights: negative, limit: -sum}
}

// optimum returns the rates within bounds whose sum, each times its weight, is largest.
func (d Deployment) optimum(bounds []halfspace, weights []float64, offered float64) ([]float64, error) {
	var best []float64
	most := -1.0
	for _, chosen := range combin.Combinations(len(bounds), len(weights)) {
		rates, meet := intersect(bounds, chosen)
		if !meet || !feasible(bounds, rates) {
			continue
		}
		if sum := floats.Dot(rates, weights); sum > most {
			best, most = rates, sum
		}
	}
	if best == nil || floats.Sum(best) <= 0 && offered > 0 {
		return nil, errorx.IllegalState.New("deployment %s can answer no request", d.Name)
	}
	return best, nil
}

// bounds returns the bounds by the slots of each service, by what is offered of each route and by zero.
func (d Deployment) bounds(offered float64, impaired []Impairment) []halfspace {
	routes := d.callerRoutes()
	var bounds []halfspace
	for i, service := range d.Services {
		weights := make([]float64, len(routes))
		for j, route := range routes {
			weights[j] = d.slotTime(route, service.Name, impaired)
		}
		bounds = append(bounds, halfspace{weights: weights, limit: d.slots(i, impaired)})
	}
	for j, route := range routes {
		most, least := make([]float64, len(routes)), make([]float64, len(routes))
		most[j], least[j] = 1, -1
		bounds = append(bounds, halfspace{most, offered * route.Weight / d.weight()}, halfspace{least, 0})
	}
	return bounds
}

// intersect returns the point where the chosen bounds meet, and false where they meet in no single point.
func intersect(bounds []halfspace, chosen []int) ([]float64, bool) {
	size := len(chosen)
	weights := mat.NewDense(size, size, nil)
	limits := mat.NewVecDense(size, nil)
	for i, index := range chosen {
		weights.SetRow(i, bounds[index].weights)
		limits.SetVec(i, bounds[index].limit)
	}
	var point mat.VecDense
	if err := point.SolveVec(weights, limits); err != nil {
		return nil, false
	}
	return point.RawVector().Data, true
}

func feasible(bounds []halfspace, rates []float64) bool {
	for _, bound := range bounds {
		if floats.Dot(bound.weights, rates) > bound.limit+feasibleSlack*(1+math.Abs(bound.limit)) {
			return false
		}
	}
	return true
}
