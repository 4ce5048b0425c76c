package configuration

// A WeightedService assigns a share of a route's requests to a service.
type WeightedService struct {
	Service string `json:"service" toml:"service"`
	// Weight is the share relative to the sum of all weights of the route.
	Weight float64 `json:"weight" toml:"weight"`
}

// ServiceFor returns the service that handles a request. The value uniform must be distributed uniformly over the
// requests of the route, such as a hash of the request ID.
func (r Route) ServiceFor(uniform uint64) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	total := 0.0
	for _, weighted := range r.Split {
		total += weighted.Weight
	}
	const steps = 1 << 53 // a float64 represents every integer up to 2^53 exactly
	at := float64(uniform%steps) / steps * total
	for _, weighted := range r.Split {
		if at < weighted.Weight {
			return weighted.Service
		}
		at -= weighted.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
