package priority

// A Callee identifies the destination of a nested call: a route of a service.
type Callee struct {
	Service string
	Route   string
}
