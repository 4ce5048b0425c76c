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
	var objects []Object
	objects = appendSorted(objects, s.Workspaces)
	objects = appendSorted(objects, s.Keys)
	objects = appendSorted(objects, s.Services)
	objects = appendSorted(objects, s.Priorities)
	objects = appendSorted(objects, s.Limits)
	return appendSorted(objects, s.Routes)
}

// Size returns the bytes that the set's objects take when they are encoded.
func (s Set) Size() int64 {
	size := int64(0)
	for _, o := range s.Objects() {
		size += int64(len(encodeObject(o)))
	}
	return size
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

func appendSorted[T Object](objects []Object, more []T) []Object {
	sorted := slices.SortedStableFunc(slices.Values(more), func(a, b T) int {
		return cmp.Compare(a.ObjectName(), b.ObjectName())
	})
	for _, o := range sorted {
		objects = append(objects, o)
	}
	return objects
}

// canonical returns the set with its objects sorted by name.
func (s Set) canonical() Set {
	var sorted Set
	for _, o := range s.Objects() {
		sorted.add(o)
	}
	return sorted
}
