package configuration

import (
	"sapphirespread.example/key"
	"sapphirespread.example/route"
)

// A Snapshot is an immutable revision of the configuration with indexes for lookups.
type Snapshot struct {
	Revision uint64
	Set      Set
	Keys     *key.Index
	Routes   *route.Matcher
	byName   *nameIndex
}

// nameIndex maps names to objects, by kind.
type nameIndex struct {
	workspaces map[string]Workspace
	services   map[string]Service
	priorities map[string]Priority
	limits     map[string]Limit
	routes     map[string]Route
}

func newSnapshot(revision uint64, set Set) Snapshot {
	hashedKeys := make([]key.HashedEntry, 0, len(set.Keys))
	for _, k := range set.Keys {
		entry := key.Entry{Name: k.Name, Workspace: k.Workspace, Withdrawn: k.Withdrawn}
		hashedKeys = append(hashedKeys, key.HashedEntry{Entry: entry, Hash: k.Hash})
	}
	patterns := make([]route.Route, 0, len(set.Routes))
	for _, r := range set.Routes {
		patterns = append(patterns, r.pattern())
	}
	return Snapshot{
		Revision: revision,
		Set:      set,
		Keys:     key.NewIndex(hashedKeys...),
		Routes:   route.NewMatcher(patterns...),
		byName: &nameIndex{
			workspaces: indexByName(set.Workspaces),
			services:   indexByName(set.Services),
			priorities: indexByName(set.Priorities),
			limits:     indexByName(set.Limits),
			routes:     indexByName(set.Routes),
		},
	}
}

// Match returns the route that matches a request with the given method, host and decoded path, if any.
func (s Snapshot) Match(method, host, path string) (Route, bool) {
	matched, ok := s.Routes.Match(method, host, path)
	if !ok {
		return Route{}, false
	}
	return s.Route(matched.Name)
}

// Workspace returns the workspace with the given name, if it exists.
func (s Snapshot) Workspace(name string) (Workspace, bool) {
	found, ok := s.byName.workspaces[name]
	return found, ok
}

// Service returns the service with the given name, if it exists.
func (s Snapshot) Service(name string) (Service, bool) {
	found, ok := s.byName.services[name]
	return found, ok
}

// Priority returns the priority with the given name, if it exists.
func (s Snapshot) Priority(name string) (Priority, bool) {
	found, ok := s.byName.priorities[name]
	return found, ok
}

// Limit returns the limit with the given name, if it exists.
func (s Snapshot) Limit(name string) (Limit, bool) {
	found, ok := s.byName.limits[name]
	return found, ok
}

// WorkspaceLimit returns the limit that applies to the workspace with the given name, if both exist.
func (s Snapshot) WorkspaceLimit(workspace string) (Limit, bool) {
	w, ok := s.Workspace(workspace)
	if !ok {
		return Limit{}, false
	}
	return s.Limit(w.Limit)
}

// Route returns the route with the given name, if it exists.
func (s Snapshot) Route(name string) (Route, bool) {
	found, ok := s.byName.routes[name]
	return found, ok
}

func indexByName[T Object](objects []T) map[string]T {
	found := make(map[string]T, len(objects))
	for _, o := range objects {
		found[o.ObjectName()] = o
	}
	return found
}
