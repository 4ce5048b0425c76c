package configuration

import "encoding/json"

// A Change sets or removes one object; Body is the object in JSON with kebab-case names.
type Change struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	Body    json.RawMessage `json:"body,omitempty"`
	Removed bool            `json:"removed,omitempty"`
}

func (c Change) id() objectID { return objectID{c.Kind, c.Name} }

// sizeOf returns the bytes of the objects that the changes set.
func sizeOf(changes []Change) int64 {
	size := int64(0)
	for _, c := range changes {
		size += int64(len(c.Body))
	}
	return size
}
