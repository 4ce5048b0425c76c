package priority

// levels is the number of levels that a configuration's priorities have.
const levels = 32

// Rank returns the priority of requests whose workspace has one level and whose route another: that of the workspace goes
// first, and that of the route orders requests of equal workspaces.
func Rank(workspace, route int) int {
	return levelOf(workspace)*levels + levelOf(route)
}

// LeadingLevel returns the level that goes first in a rank.
func LeadingLevel(rank int) int {
	return rank / levels
}

// RouteLevel returns the level of the route in a rank.
func RouteLevel(rank int) int {
	return rank % levels
}

func levelOf(level int) int {
	return min(max(level, 0), levels-1)
}
