package configuration

import (
	"sapphirespread.example/key"
	"sapphirespread.example/route"
)

// A Snapshot is one revision, ready for lookups; it never changes.
type Snapshot struct {
	Revision uint64
	Set      Set
	Keys     *key.Index
	Routes   *route.Matcher
	names    *names
}

// names finds objects by name.
type names struct {
	workspaces map[string]Workspace
	services   map[string]Service
	priorities map[string]Priority
	limits     map[string]Limit
	routes     map[string]Route
}

func newSnapshot(revision uint64, set Set) Snapshot {
	hashed := make([]key.Hashed, 0, len(set.Keys))
	for _, k := range set.Keys {
		entry := key.Entry{Name: k.Name, Workspace: k.Workspace, Withdrawn: k.Withdrawn}
		hashed = append(hashed, key.Hashed{Entry: entry, Hash: k.Hash})
	}
	matched := make([]route.Route, 0, len(set.Routes))
	for _, r := range set.Routes {
		matched = append(matched, r.matched())
	}
	return Snapshot{
		Revision: revision,
		Set:      set,
		Keys:     key.NewIndex(hashed...),
		Routes:   route.NewMatcher(matched...),
		names: &names{
			workspaces: byName(set.Workspaces),
			services:   byName(set.Services),
			priorities: byName(set.Priorities),
			limits:     byName(set.Limits),
			routes:     byName(set.Routes),
		},
	}
}

// Match returns the route of a request by its method, its host and its decoded path.
func (s Snapshot) Match(method, host, path string) (Route, bool) {
	matched, ok := s.Routes.Match(method, host, path)
	if !ok {
		return Route{}, false
	}
	return s.Route(matched.Name)
}

// Workspace returns the workspace of that name.
func (s Snapshot) Workspace(name string) (Workspace, bool) {
	w, ok := s.names.workspaces[name]
	return w, ok
}

// Service returns the service of that name.
func (s Snapshot) Service(name string) (Service, bool) {
	found, ok := s.names.services[name]
	return found, ok
}

// Priority returns the priority of that name.
func (s Snapshot) Priority(name string) (Priority, bool) {
	p, ok := s.names.priorities[name]
	return p, ok
}

// Limit returns the limit of that name.
func (s Snapshot) Limit(name string) (Limit, bool) {
	l, ok := s.names.limits[name]
	return l, ok
}

// WorkspaceLimit returns the limit that a workspace is held to.
func (s Snapshot) WorkspaceLimit(workspace string) (Limit, bool) {
	w, ok := s.Workspace(workspace)
	if !ok {
		return Limit{}, false
	}
	return s.Limit(w.Limit)
}

// Route returns the route of that name.
func (s Snapshot) Route(name string) (Route, bool) {
	r, ok := s.names.routes[name]
	return r, ok
}

func byName[T Object](objects []T) map[string]T {
	found := make(map[string]T, len(objects))
	for _, o := range objects {
		found[o.ObjectName()] = o
	}
	return found
}
