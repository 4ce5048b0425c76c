package configuration

import (
	"encoding/json"
	"reflect"
	"slices"
	"time"

	"sapphirespread.example/route"
)

const defaultExtraAttempts = 2

// A Route sends matching requests to a service with a priority, a deadline and a maximum number of extra attempts.
// A request of a route that is not repeatable runs at most once. An open route requires no key.
type Route struct {
	Name    string   `json:"name" toml:"-"`
	Host    string   `json:"host,omitempty" toml:"host,omitempty"`
	Path    string   `json:"path" toml:"path"`
	Methods []string `json:"methods,omitempty" toml:"methods,omitempty"`
	Service string   `json:"service,omitempty" toml:"service,omitempty"`
	// Split distributes the requests over several services by weight and replaces Service.
	Split    []WeightedService `json:"split,omitempty" toml:"split,omitempty"`
	Priority string            `json:"priority" toml:"priority"`
	Deadline time.Duration     `json:"deadline" toml:"deadline"`
	// Objective is the response time within which an answer is most valuable to the caller, or zero if there is none.
	Objective  time.Duration `json:"objective,omitempty" toml:"objective,omitempty"`
	Repeatable bool          `json:"repeatable" toml:"repeatable"`
	// Unclaimed lets a request that is not repeatable run without a claim. The request is sent once, and resent only
	// if it is certain that it has not run.
	Unclaimed     bool     `json:"unclaimed,omitempty" toml:"unclaimed,omitempty"`
	Open          bool     `json:"open" toml:"open"`
	ExtraAttempts int      `json:"extra-attempts" toml:"extra-attempts"`
	Workspaces    []string `json:"workspaces,omitempty" toml:"workspaces,omitempty"`
	// MaxHeaderBytes limits the names and values of a request's header fields, or is zero for no limit of the route.
	MaxHeaderBytes int64 `json:"max-header-bytes,omitempty" toml:"max-header-bytes,omitempty"`
	// MaxBodyBytes limits the body of a request, or is zero for no limit.
	MaxBodyBytes int64 `json:"max-body-bytes,omitempty" toml:"max-body-bytes,omitempty"`
}

// ObjectKind returns KindRoute.
func (Route) ObjectKind() Kind { return KindRoute }

// ObjectName returns the route's name.
func (r Route) ObjectName() string { return r.Name }

// SetDefaults sets the default number of extra attempts.
func (r *Route) SetDefaults() { r.ExtraAttempts = defaultExtraAttempts }

// plainRoute is a route without methods, so that encoding/json does not call MarshalJSON recursively.
type plainRoute Route

// routeBody is the encoded form of a route, with its durations as text.
type routeBody struct {
	plainRoute
	Deadline  duration `json:"deadline" toml:"deadline"`
	Objective duration `json:"objective,omitempty" toml:"objective,omitempty"`
}

// MarshalJSON encodes the route with its durations as text such as "1.5s".
func (r Route) MarshalJSON() ([]byte, error) {
	return json.Marshal(r.body())
}

// UnmarshalJSON decodes the output of MarshalJSON and fails on unknown names.
func (r *Route) UnmarshalJSON(data []byte) error {
	var body routeBody
	if err := unmarshalStrict(data, &body); err != nil {
		return err
	}
	*r = Route(body.plainRoute)
	r.Deadline = time.Duration(body.Deadline)
	r.Objective = time.Duration(body.Objective)
	return nil
}

// equal reports whether two routes have the same content. A nil list and an empty list are equal.
func (r Route) equal(other Route) bool {
	if !slices.Equal(r.Methods, other.Methods) || !slices.Equal(r.Workspaces, other.Workspaces) || !slices.Equal(r.Split, other.Split) {
		return false
	}
	r.Methods, r.Workspaces, r.Split = nil, nil, nil
	other.Methods, other.Workspaces, other.Split = nil, nil, nil
	return reflect.DeepEqual(r, other)
}

func (r Route) body() routeBody {
	return routeBody{plainRoute(r), duration(r.Deadline), duration(r.Objective)}
}

func (r Route) pattern() route.Route {
	return route.Route{Name: r.Name, Host: r.Host, Path: r.Path, Methods: r.Methods}
}
