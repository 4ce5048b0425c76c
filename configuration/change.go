package configuration

import "encoding/json"

// A Change sets or removes one object. Body is the object as JSON with kebab-case names, and is empty if Removed is
// set.
type Change struct {
	Kind    Kind            `json:"kind"`
	Name    string          `json:"name"`
	Body    json.RawMessage `json:"body,omitempty"`
	Removed bool            `json:"removed,omitempty"`
}

func (c Change) id() objectID { return objectID{c.Kind, c.Name} }

// changeOverhead is the size in bytes of an encoded change without its kind, name and body.
const changeOverhead = 32

// size returns the encoded size of the change in bytes, or 0 if it removes an object.
func (c Change) size() int64 {
	if c.Removed {
		return 0
	}
	return int64(changeOverhead + len(c.Kind) + len(c.Name) + len(c.Body))
}

// sizeOf returns the total encoded size of the changes in bytes. Removals count as 0.
func sizeOf(changes []Change) int64 {
	size := int64(0)
	for _, c := range changes {
		size += c.size()
	}
	return size
}
