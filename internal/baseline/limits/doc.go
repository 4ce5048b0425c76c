// Package limits compares three ways to enforce the limits of workspaces: the grants of package limit, an even split
// of each limit among the daemons, and one query to the owner for each request. Run simulates the requests of a
// scenario on links that only delay messages, with a simulated clock, so that equal scenarios give equal results.
package limits
