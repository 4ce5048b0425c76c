package deployment

// RouteRate is the rate of answered requests of a route, in requests per second.
type RouteRate struct {
	Route Route
	Rate  float64
}
