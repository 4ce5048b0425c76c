package configuration

import (
	"encoding/json"
	"reflect"
	"slices"
	"time"

	"sapphirespread.example/route"
)

const defaultExtraAttempts = 2

// A Route sends the requests that match it to a service, with a priority, a deadline and an allowance of extra attempts.
// A request of a route that is not repeatable runs at most once; an open route demands no key.
type Route struct {
	Name    string   `json:"name" toml:"-"`
	Host    string   `json:"host,omitempty" toml:"host,omitempty"`
	Path    string   `json:"path" toml:"path"`
	Methods []string `json:"methods,omitempty" toml:"methods,omitempty"`
	Service string   `json:"service,omitempty" toml:"service,omitempty"`
	// Split names services that share the requests by weight, in place of Service.
	Split    []Part        `json:"split,omitempty" toml:"split,omitempty"`
	Priority string        `json:"priority" toml:"priority"`
	Deadline time.Duration `json:"deadline" toml:"deadline"`
	// Objective is the time within which an answer is worth most to its caller, zero for none.
	Objective  time.Duration `json:"objective,omitempty" toml:"objective,omitempty"`
	Repeatable bool          `json:"repeatable" toml:"repeatable"`
	// Unclaimed lets a request that is not repeatable run without a claim: it is sent once, and again only where
	// it is certain not to have run.
	Unclaimed     bool     `json:"unclaimed,omitempty" toml:"unclaimed,omitempty"`
	Open          bool     `json:"open" toml:"open"`
	ExtraAttempts int      `json:"extra-attempts" toml:"extra-attempts"`
	Workspaces    []string `json:"workspaces,omitempty" toml:"workspaces,omitempty"`
}

// ObjectKind returns KindRoute.
func (Route) ObjectKind() Kind { return KindRoute }

// ObjectName returns the route's name.
func (r Route) ObjectName() string { return r.Name }

// SetDefaults sets the extra attempts that a route has where its file names none.
func (r *Route) SetDefaults() { r.ExtraAttempts = defaultExtraAttempts }

// plainRoute is a route without methods, so that encoding/json doesn't call them.
type plainRoute Route

// routeBody is a route with its deadline as text.
type routeBody struct {
	plainRoute
	Deadline  duration `json:"deadline" toml:"deadline"`
	Objective duration `json:"objective,omitempty" toml:"objective,omitempty"`
}

// MarshalJSON writes the route with its deadline as text such as "1.5s".
func (r Route) MarshalJSON() ([]byte, error) {
	return json.Marshal(r.body())
}

// UnmarshalJSON reads what MarshalJSON wrote and refuses unknown names.
func (r *Route) UnmarshalJSON(data []byte) error {
	var body routeBody
	if err := unmarshalStrictly(data, &body); err != nil {
		return err
	}
	*r = Route(body.plainRoute)
	r.Deadline = time.Duration(body.Deadline)
	r.Objective = time.Duration(body.Objective)
	return nil
}

// equal reports whether two routes hold the same, an empty list being the same as none.
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

func (r Route) matched() route.Route {
	return route.Route{Name: r.Name, Host: r.Host, Path: r.Path, Methods: r.Methods}
}
