package deployment

// A RouteRate is how many requests a second of a route are answered.
type RouteRate struct {
	Route Route
	Rate  float64
}
