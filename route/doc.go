// Package route finds the route of a request by method, host and path. The longest path wins, an exact path
// before a prefix and a host before none. A path that a backend server could read as another one matches nothing,
// so that a keyed route can't be reached through an open one.
package route
