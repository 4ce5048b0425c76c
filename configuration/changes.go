package configuration

import (
	"fmt"
	"slices"
)

// Changes returns what leads from the set from to s, by kind and then by name.
func (s Set) Changes(from Set) []Change {
	before := from.byID()
	var changes []Change
	for _, o := range s.Objects() {
		id := idOf(o)
		old, known := before[id]
		if !known || !equal(old, o) {
			changes = append(changes, Change{Kind: id.kind, Name: id.name, Body: encodeObject(o)})
		}
		delete(before, id)
	}
	if len(before) == 0 {
		return changes
	}
	for _, o := range from.Objects() {
		id := idOf(o)
		if _, removed := before[id]; removed {
			changes = append(changes, Change{Kind: id.kind, Name: id.name, Removed: true})
		}
	}
	return changes
}

// Apply returns s with the changes made; it fails where a body does not hold the object that the change names.
// The two sets share the objects of kinds that no change names.
func (s Set) Apply(changes []Change) (Set, error) {
	patch := map[Kind]map[string]Object{}
	var problems Problems
	for _, c := range changes {
		if patch[c.Kind] == nil {
			patch[c.Kind] = map[string]Object{}
		}
		o, err := c.object()
		if err != nil {
			problems = append(problems, Problem{Name: c.Kind.table() + "." + c.Name, Found: err.Error(), Expected: "an object of that kind and name"})
			continue
		}
		patch[c.Kind][c.Name] = o
	}
	if err := problems.Err(); err != nil {
		return Set{}, err
	}
	return Set{
		Workspaces: patched(s.Workspaces, patch[KindWorkspace]),
		Keys:       patched(s.Keys, patch[KindKey]),
		Services:   patched(s.Services, patch[KindService]),
		Priorities: patched(s.Priorities, patch[KindPriority]),
		Limits:     patched(s.Limits, patch[KindLimit]),
		Routes:     patched(s.Routes, patch[KindRoute]),
	}, nil
}

// object returns the object that the change sets, or nil where it removes one.
func (c Change) object() (Object, error) {
	if !slices.Contains(Kinds(), c.Kind) {
		return nil, fmt.Errorf("the kind %q", c.Kind)
	}
	if c.Removed {
		return nil, nil
	}
	o, err := decodeObject(c.Kind, c.Body)
	if err != nil {
		return nil, err
	}
	if o.ObjectName() != c.Name {
		return nil, fmt.Errorf("the object %q", o.ObjectName())
	}
	return o, nil
}

// patched returns the objects sorted by name, with those of the patch set, and those that it maps to nil removed.
func patched[T Object](objects []T, patch map[string]Object) []T {
	if len(patch) == 0 {
		return sorted(objects)
	}
	next := make([]T, 0, len(objects)+len(patch))
	for _, o := range objects {
		if _, named := patch[o.ObjectName()]; !named {
			next = append(next, o)
		}
	}
	for _, o := range patch {
		if o != nil {
			next = append(next, o.(T))
		}
	}
	if len(next) == 0 {
		return nil
	}
	return sorted(next)
}
