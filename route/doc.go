// Package route finds the route of a request by method, host and path. The longest path takes precedence, an
// exact path precedes a prefix, and a route with a host precedes one without. A path that a backend server
// could interpret as another path matches no route, so that a route that requires a key can't be reached
// through one that doesn't.
package route
