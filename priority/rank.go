package priority

// levelCount is the number of priority levels in a configuration.
const levelCount = 32

// Rank combines the levels of a workspace and a route into one request priority. The workspace level takes
// precedence, and the route level orders requests of workspaces with the same level.
func Rank(workspace, route int) int {
	return clampLevel(workspace)*levelCount + clampLevel(route)
}

// WorkspaceLevel returns the workspace level of a rank.
func WorkspaceLevel(rank int) int {
	return rank / levelCount
}

// RouteLevel returns the route level of a rank.
func RouteLevel(rank int) int {
	return rank % levelCount
}

func clampLevel(level int) int {
	return min(max(level, 0), levelCount-1)
}
