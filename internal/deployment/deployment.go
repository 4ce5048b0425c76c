package deployment

import (
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"sapphirespread.example/internal/standin"
)

// Deployment describes services with their targets, the routes into them and the workspaces that call them.
type Deployment struct {
	Name           string
	FailureDomains []string
	Services       []Service
	Routes         []Route
	Workspaces     []Workspace
}

// Service describes a service, with the slots and connections of each of its targets.
type Service struct {
	Name        string
	Slots       []int
	Connections []int
	// Work is the mean service time, excluding nested calls.
	Work  time.Duration
	Calls []standin.NestedCall
}

// Route is one kind of request, which callers send if its Weight is above 0 and only services send otherwise.
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

// Priority is a named priority, of which level 0 is the most important.
type Priority struct {
	Name  string
	Level int
}

// Workspace is a caller and its share of the load.
type Workspace struct {
	Name  string
	Share float64
}

// Find returns the deployment called name, or an error if there is none.
func Find(name string) (Deployment, error) {
	for _, d := range []Deployment{Banevakt(), Kite()} {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, errorx.IllegalArgument.New("unknown deployment %q: want banevakt or kite", name)
}

// Scaled returns the deployment with the slots and connections of each target multiplied by scale, and at least 1.
func (d Deployment) Scaled(scale float64) Deployment {
	d.Services = slices.Clone(d.Services)
	for i := range d.Services {
		d.Services[i].Slots = scaleAll(d.Services[i].Slots, scale)
		d.Services[i].Connections = scaleAll(d.Services[i].Connections, scale)
	}
	return d
}

// FailureDomain returns the failure domain of the target with the given index in its service.
func (d Deployment) FailureDomain(target int) string {
	return d.FailureDomains[target%len(d.FailureDomains)]
}

// Service returns the service called name, and false if there is none.
func (d Deployment) Service(name string) (Service, bool) {
	for _, service := range d.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

func scaleAll(values []int, scale float64) []int {
	out := make([]int, len(values))
	for i, value := range values {
		out[i] = max(int(float64(value)*scale+0.5), 1)
	}
	return out
}
