package deployment

import (
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
	bounds := d.bounds(offered, impaired)
	routes := len(d.callerRoutes())
	best := 0.0
	for _, chosen := range combin.Combinations(len(bounds), routes) {
		rates, meet := intersect(bounds, chosen)
		if meet && feasible(bounds, rates) {
			best = max(best, floats.Sum(rates))
		}
	}
	if best <= 0 && offered > 0 {
		return 0, errorx.IllegalState.New("deployment %s can answer no request", d.Name)
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
		if floats.Dot(bound.weights, rates) > bound.limit*(1+feasibleSlack)+feasibleSlack {
			return false
		}
	}
	return true
}
