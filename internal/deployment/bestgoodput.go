package deployment

import (
	"math"
	"slices"

	"github.com/joomcode/errorx"
	"gonum.org/v1/gonum/floats"
	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/stat/combin"
)

const feasibilityTolerance = 1e-9

// constraint is a linear inequality on the admitted rates of the routes: their weighted sum is at most limit.
type constraint struct {
	weights []float64
	limit   float64
}

// BestGoodput returns the maximum rate of answered root requests per second when offered requests per second
// arrive in the mix of the routes, over all choices of admitted rates.
func (d Deployment) BestGoodput(offered float64, impaired ...Impairment) (float64, error) {
	every := make([]float64, len(d.callerRoutes()))
	for i := range every {
		every[i] = 1
	}
	best, err := d.maximize(d.constraints(offered, impaired), every, offered)
	return floats.Sum(best), err
}

// BestByPriority returns the rate of answered requests per second of each route when every priority level is
// served as far as possible before the next.
func (d Deployment) BestByPriority(offered float64, impaired ...Impairment) ([]RouteRate, error) {
	routes := d.callerRoutes()
	bounds := d.constraints(offered, impaired)
	var rates []float64
	for _, level := range priorityLevels(routes) {
		counted := make([]float64, len(routes))
		for i, route := range routes {
			if route.Priority.Level == level {
				counted[i] = 1
			}
		}
		var err error
		if rates, err = d.maximize(bounds, counted, offered); err != nil {
			return nil, err
		}
		bounds = append(bounds, lowerBound(counted, floats.Dot(counted, rates)))
	}
	byRoute := make([]RouteRate, len(routes))
	for i, route := range routes {
		byRoute[i] = RouteRate{Route: route, Rate: rates[i]}
	}
	return byRoute, nil
}

// priorityLevels returns the distinct priority levels of routes, the most important first.
func priorityLevels(routes []Route) []int {
	var levels []int
	for _, route := range routes {
		levels = append(levels, route.Priority.Level)
	}
	slices.Sort(levels)
	return slices.Compact(levels)
}

// lowerBound returns the constraint that the counted rates add up to at least sum.
func lowerBound(counted []float64, sum float64) constraint {
	negative := make([]float64, len(counted))
	for i, c := range counted {
		negative[i] = -c
	}
	return constraint{weights: negative, limit: -sum}
}

// maximize returns the rates within bounds that have the largest weighted sum. This linear program has its maximum
// at a vertex of the feasible region, so each intersection of as many bounds as there are routes is tried.
func (d Deployment) maximize(bounds []constraint, weights []float64, offered float64) ([]float64, error) {
	var best []float64
	most := -1.0
	for _, chosen := range combin.Combinations(len(bounds), len(weights)) {
		rates, unique := intersection(bounds, chosen)
		if !unique || !feasible(bounds, rates) {
			continue
		}
		if sum := floats.Dot(rates, weights); sum > most {
			best, most = rates, sum
		}
	}
	if best == nil || floats.Sum(best) <= 0 && offered > 0 {
		return nil, errorx.IllegalState.New("deployment %s cannot answer any request", d.Name)
	}
	return best, nil
}

// constraints returns the bounds on the rates: the slots of each service, the offered rate of each route and zero.
func (d Deployment) constraints(offered float64, impaired []Impairment) []constraint {
	routes := d.callerRoutes()
	var bounds []constraint
	for i, service := range d.Services {
		weights := make([]float64, len(routes))
		for j, route := range routes {
			weights[j] = d.slotSeconds(route, service.Name, impaired)
		}
		bounds = append(bounds, constraint{weights: weights, limit: d.availableSlots(i, impaired)})
	}
	for j, route := range routes {
		most, least := make([]float64, len(routes)), make([]float64, len(routes))
		most[j], least[j] = 1, -1
		bounds = append(bounds, constraint{most, offered * route.Weight / d.totalWeight()}, constraint{least, 0})
	}
	return bounds
}

// intersection returns the point at which the chosen bounds hold with equality, and false if it is not unique.
func intersection(bounds []constraint, chosen []int) ([]float64, bool) {
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

func feasible(bounds []constraint, rates []float64) bool {
	for _, bound := range bounds {
		if floats.Dot(bound.weights, rates) > bound.limit+feasibilityTolerance*(1+math.Abs(bound.limit)) {
			return false
		}
	}
	return true
}
