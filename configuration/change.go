package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// A Change sets or removes one object; Body is the object in JSON with kebab-case names.
type Change struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	Body    json.RawMessage `json:"body,omitempty"`
	Removed bool            `json:"removed,omitempty"`
}

// objectID names an object within a set.
type objectID struct {
	kind Kind
	name string
}

func (c Change) id() objectID { return objectID{c.Kind, c.Name} }

func (c Change) size() int64 { return int64(len(c.Kind) + len(c.Name) + len(c.Body)) }

// Changes returns what leads from the set from to s, by kind and then by name.
func (s Set) Changes(from Set) []Change {
	before := from.bodies()
	var changes []Change
	for _, o := range s.Objects() {
		id := objectID{o.ObjectKind(), o.ObjectName()}
		body := encodeObject(o)
		if !bytes.Equal(before[id], body) {
			changes = append(changes, Change{Kind: id.kind, Name: id.name, Body: body})
		}
		delete(before, id)
	}
	for _, o := range from.Objects() {
		id := objectID{o.ObjectKind(), o.ObjectName()}
		if _, removed := before[id]; removed {
			changes = append(changes, Change{Kind: id.kind, Name: id.name, Removed: true})
		}
	}
	return changes
}

// Apply returns s with the changes made; it fails where a body does not hold the object that the change names.
func (s Set) Apply(changes []Change) (Set, error) {
	objects := map[objectID]Object{}
	for _, o := range s.Objects() {
		objects[objectID{o.ObjectKind(), o.ObjectName()}] = o
	}
	var problems Problems
	for _, c := range changes {
		if c.Removed {
			delete(objects, c.id())
			continue
		}
		o, err := decodeObject(c.Kind, c.Body)
		if err == nil && o.ObjectName() != c.Name {
			err = fmt.Errorf("the object %q", o.ObjectName())
		}
		if err != nil {
			problems = append(problems, Problem{Name: c.Kind.table() + "." + c.Name, Found: err.Error(), Expected: "an object of that kind and name"})
			continue
		}
		objects[c.id()] = o
	}
	if err := problems.Err(); err != nil {
		return Set{}, err
	}
	return collect(objects), nil
}

func (s Set) bodies() map[objectID][]byte {
	bodies := map[objectID][]byte{}
	for _, o := range s.Objects() {
		bodies[objectID{o.ObjectKind(), o.ObjectName()}] = encodeObject(o)
	}
	return bodies
}

func collect(objects map[objectID]Object) Set {
	names := make([]string, 0, len(objects))
	byName := map[string][]Object{}
	for id, o := range objects {
		if byName[id.name] == nil {
			names = append(names, id.name)
		}
		byName[id.name] = append(byName[id.name], o)
	}
	slices.Sort(names)
	var s Set
	for _, name := range names {
		for _, o := range byName[name] {
			s.add(o)
		}
	}
	return s
}
