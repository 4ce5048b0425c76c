package configuration

import (
	"cmp"
	"slices"
)

// A Set is a whole configuration: all objects of all kinds.
type Set struct {
	Workspaces []Workspace
	Keys       []Key
	Services   []Service
	Priorities []Priority
	Limits     []Limit
	Routes     []Route
}

// Objects returns all objects by kind and then by name.
func (s Set) Objects() []Object {
	objects := make([]Object, 0, s.count())
	objects = appendSorted(objects, s.Workspaces)
	objects = appendSorted(objects, s.Keys)
	objects = appendSorted(objects, s.Services)
	objects = appendSorted(objects, s.Priorities)
	objects = appendSorted(objects, s.Limits)
	return appendSorted(objects, s.Routes)
}

// Size returns the bytes that the set's objects take when they are encoded.
func (s Set) Size() int64 {
	return sizeOf(s.Changes(Set{}))
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

// byID returns the objects by what names them.
func (s Set) byID() map[objectID]Object {
	objects := s.Objects()
	found := make(map[objectID]Object, len(objects))
	for _, o := range objects {
		found[idOf(o)] = o
	}
	return found
}

// count returns the number of all objects.
func (s Set) count() int {
	return len(s.Workspaces) + len(s.Keys) + len(s.Services) + len(s.Priorities) + len(s.Limits) + len(s.Routes)
}

// canonical returns the set with its objects sorted by name.
func (s Set) canonical() Set {
	return Set{
		Workspaces: sorted(s.Workspaces),
		Keys:       sorted(s.Keys),
		Services:   sorted(s.Services),
		Priorities: sorted(s.Priorities),
		Limits:     sorted(s.Limits),
		Routes:     sorted(s.Routes),
	}
}

// sorted returns the objects by name; they are the same slice where they are sorted already.
func sorted[T Object](objects []T) []T {
	byName := func(a, b T) int { return cmp.Compare(a.ObjectName(), b.ObjectName()) }
	if slices.IsSortedFunc(objects, byName) {
		return objects
	}
	objects = slices.Clone(objects)
	slices.SortStableFunc(objects, byName)
	return objects
}

func appendSorted[T Object](objects []Object, more []T) []Object {
	for _, o := range sorted(more) {
		objects = append(objects, o)
	}
	return objects
}
