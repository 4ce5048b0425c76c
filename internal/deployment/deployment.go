package deployment

import (
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"sapphirespread.example/internal/standin"
)

// A Deployment is a set of services with their targets, the routes into them and their callers.
type Deployment struct {
	Name           string
	FailureDomains []string
	Services       []Service
	Routes         []Route
	Workspaces     []Workspace
}

// A Service is one service with the slots of each of its targets.
type Service struct {
	Name        string
	Slots       []int
	Connections []int
	// Work is the mean service time, without that of the calls.
	Work  time.Duration
	Calls []standin.Call
}

// A Route is one kind of request; callers send it where its Weight is above 0, services where not.
type Route struct {
	Name       string
	Method     string
	Path       string
	Service    string
	Priority   Priority
	Deadline   time.Duration
	Repeatable bool
	Weight     float64
}

// A Priority is a named priority; level 0 is the most important.
type Priority struct {
	Name  string
	Level int
}

// A Workspace is one caller and its share of the load.
type Workspace struct {
	Name  string
	Share float64
}

// Find returns the deployment called name.
func Find(name string) (Deployment, error) {
	for _, d := range []Deployment{Banevakt(), Kite()} {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, errorx.IllegalArgument.New("unknown deployment %q: want banevakt or kite", name)
}

// Scaled returns the deployment with its slots and connections multiplied by scale.
func (d Deployment) Scaled(scale float64) Deployment {
	d.Services = slices.Clone(d.Services)
	for i := range d.Services {
		d.Services[i].Slots = scaled(d.Services[i].Slots, scale)
		d.Services[i].Connections = scaled(d.Services[i].Connections, scale)
	}
	return d
}

// FailureDomain returns the failure domain of a target of a service by its number.
func (d Deployment) FailureDomain(target int) string {
	return d.FailureDomains[target%len(d.FailureDomains)]
}

// Service returns the service called name.
func (d Deployment) Service(name string) (Service, bool) {
	for _, service := range d.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

func scaled(values []int, scale float64) []int {
	out := make([]int, len(values))
	for i, value := range values {
		out[i] = max(int(float64(value)*scale+0.5), 1)
	}
	return out
}
