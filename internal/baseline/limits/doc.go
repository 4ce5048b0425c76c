// Package limits compares ways to hold workspaces to their limits: the grants of package limit, an even split of
// each limit among the daemons, and one question to the owner for each request. A Run passes a scenario's requests
// over links that only delay, in passed-in time, so that the same scenario always gives the same outcomes.
package limits
