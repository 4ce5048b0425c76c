package configuration_test

import (
	"fmt"
	"time"

	"pgregory.net/rapid"

	"sapphirespread.example/configuration"
)

// validSet returns a valid set with the given numbers of workspaces and routes. The seed varies the values.
func validSet(workspaces, routes, seed int) configuration.Set {
	set := configuration.Set{
		Services:   []configuration.Service{{Name: "courts", RetryBudget: 0.1}},
		Priorities: []configuration.Priority{{Name: "booking"}},
		Limits:     []configuration.Limit{{Name: "small", Rate: float64(seed + 1), Burst: 10}},
	}
	for i := range workspaces {
		set.Workspaces = append(set.Workspaces, configuration.Workspace{Name: fmt.Sprintf("w%d", i), Limit: "small", Share: 1})
	}
	for i := range routes {
		set.Routes = append(set.Routes, configuration.Route{
			Name:     fmt.Sprintf("r%d", i),
			Path:     fmt.Sprintf("/r%d/*", i),
			Service:  "courts",
			Priority: "booking",
			Deadline: time.Second,
		})
	}
	return set
}

// drawSet draws a valid set.
func drawSet(t *rapid.T) configuration.Set {
	return validSet(
		rapid.IntRange(0, 4).Draw(t, "workspaces"),
		rapid.IntRange(0, 4).Draw(t, "routes"),
		rapid.IntRange(0, 3).Draw(t, "seed"),
	)
}

// workspaceChange returns a change that sets a workspace with the limit "small".
func workspaceChange(name string) []configuration.Change {
	body := fmt.Sprintf(`{"name":%q,"limit":"small","share":1}`, name)
	return []configuration.Change{{Kind: configuration.KindWorkspace, Name: name, Body: []byte(body)}}
}
