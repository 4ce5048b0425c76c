package configuration

// A Part is the share of a route's requests that goes to one service.
type Part struct {
	Service string `json:"service" toml:"service"`
	// Weight is relative to those of the other parts.
	Weight float64 `json:"weight" toml:"weight"`
}

// ServiceFor returns the service of a request, by a number that is uniform over all requests of the route.
func (r Route) ServiceFor(uniform uint64) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	total := 0.0
	for _, part := range r.Split {
		total += part.Weight
	}
	const steps = 1 << 53 // a float64 tells them apart
	at := float64(uniform%steps) / steps * total
	for _, part := range r.Split {
		if at < part.Weight {
			return part.Service
		}
		at -= part.Weight
	}
	return r.Split[len(r.Split)-1].Service
}
