package configuration

import (
	"cmp"
	"slices"
)

// A Set is a complete configuration with the objects of all kinds.
type Set struct {
	Workspaces []Workspace
	Keys       []Key
	Services   []Service
	Priorities []Priority
	Limits     []Limit
	Routes     []Route
}

// Objects returns all objects, sorted by kind and name.
func (s Set) Objects() []Object {
	objects := make([]Object, 0, s.count())
	objects = appendSorted(objects, s.Workspaces)
	objects = appendSorted(objects, s.Keys)
	objects = appendSorted(objects, s.Services)
	objects = appendSorted(objects, s.Priorities)
	objects = appendSorted(objects, s.Limits)
	return appendSorted(objects, s.Routes)
}

// Size returns the encoded size of the set's objects in bytes.
func (s Set) Size() int64 {
	return sizeOf(s.Changes(Set{}))
}

// only returns the objects of the set that are named.
func (s Set) only(named map[objectID]bool) Set {
	return Set{
		Workspaces: onlyNamed(s.Workspaces, named),
		Keys:       onlyNamed(s.Keys, named),
		Services:   onlyNamed(s.Services, named),
		Priorities: onlyNamed(s.Priorities, named),
		Limits:     onlyNamed(s.Limits, named),
		Routes:     onlyNamed(s.Routes, named),
	}
}

func onlyNamed[T Object](objects []T, named map[objectID]bool) []T {
	var found []T
	for _, o := range objects {
		if named[objectID{o.ObjectKind(), o.ObjectName()}] {
			found = append(found, o)
		}
	}
	return found
}

func (s *Set) add(o Object) {
	switch o := o.(type) {
	case Workspace:
		s.Workspaces = append(s.Workspaces, o)
	case Key:
		s.Keys = append(s.Keys, o)
	case Service:
		s.Services = append(s.Services, o)
	case Priority:
		s.Priorities = append(s.Priorities, o)
	case Limit:
		s.Limits = append(s.Limits, o)
	case Route:
		s.Routes = append(s.Routes, o)
	}
}

// byID returns the objects by their IDs.
func (s Set) byID() map[objectID]Object {
	objects := s.Objects()
	found := make(map[objectID]Object, len(objects))
	for _, o := range objects {
		found[idOf(o)] = o
	}
	return found
}

// count returns the number of objects of all kinds.
func (s Set) count() int {
	return len(s.Workspaces) + len(s.Keys) + len(s.Services) + len(s.Priorities) + len(s.Limits) + len(s.Routes)
}

// sortedObjects returns the set with its objects sorted by name.
func (s Set) sortedObjects() Set {
	return Set{
		Workspaces: sortedByName(s.Workspaces),
		Keys:       sortedByName(s.Keys),
		Services:   sortedByName(s.Services),
		Priorities: sortedByName(s.Priorities),
		Limits:     sortedByName(s.Limits),
		Routes:     sortedByName(s.Routes),
	}
}

// sortedByName returns the objects sorted by name. It returns the given slice if it is already sorted, and a copy
// otherwise.
func sortedByName[T Object](objects []T) []T {
	compareNames := func(a, b T) int { return cmp.Compare(a.ObjectName(), b.ObjectName()) }
	if slices.IsSortedFunc(objects, compareNames) {
		return objects
	}
	objects = slices.Clone(objects)
	slices.SortStableFunc(objects, compareNames)
	return objects
}

func appendSorted[T Object](objects []Object, more []T) []Object {
	for _, o := range sortedByName(more) {
		objects = append(objects, o)
	}
	return objects
}
