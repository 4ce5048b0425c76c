package configuration

import (
	"fmt"
	"slices"
)

// Changes returns the changes that turn the set from into s. Changed objects come first, then removed ones, each sorted
// by kind and name.
func (s Set) Changes(from Set) []Change {
	remaining := from.byID()
	var changes []Change
	for _, o := range s.Objects() {
		id := idOf(o)
		old, known := remaining[id]
		if !known || !equal(old, o) {
			changes = append(changes, Change{Kind: id.kind, Name: id.name, Body: encodeObject(o)})
		}
		delete(remaining, id)
	}
	if len(remaining) == 0 {
		return changes
	}
	for _, o := range from.Objects() {
		id := idOf(o)
		if _, removed := remaining[id]; removed {
			changes = append(changes, Change{Kind: id.kind, Name: id.name, Removed: true})
		}
	}
	return changes
}

// Apply returns a copy of s with the changes applied. It fails with Problems if a change has an unknown kind or a body
// that does not decode to the named object. The result shares the slices of unchanged kinds with s.
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
		Workspaces: applyPatch(s.Workspaces, patch[KindWorkspace]),
		Keys:       applyPatch(s.Keys, patch[KindKey]),
		Services:   applyPatch(s.Services, patch[KindService]),
		Priorities: applyPatch(s.Priorities, patch[KindPriority]),
		Limits:     applyPatch(s.Limits, patch[KindLimit]),
		Routes:     applyPatch(s.Routes, patch[KindRoute]),
	}, nil
}

// object returns the object that the change sets, or nil if the change removes it.
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

// applyPatch returns the objects with the patch applied, sorted by name. The patch maps names to new objects, or to nil
// to remove them.
func applyPatch[T Object](objects []T, patch map[string]Object) []T {
	if len(patch) == 0 {
		return sortedByName(objects)
	}
	result := make([]T, 0, len(objects)+len(patch))
	for _, o := range objects {
		if _, named := patch[o.ObjectName()]; !named {
			result = append(result, o)
		}
	}
	for _, o := range patch {
		if o != nil {
			result = append(result, o.(T))
		}
	}
	if len(result) == 0 {
		return nil
	}
	return sortedByName(result)
}
