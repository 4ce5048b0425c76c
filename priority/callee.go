package priority

// A Callee is what a deeper call asks for: a route of a service.
type Callee struct {
	Service string
	Route   string
}
