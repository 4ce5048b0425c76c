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

// changeOverhead is the bytes that an encoded change takes beside kind, name and body.
const changeOverhead = 32

// size returns the bytes that the change takes when it is encoded, 0 where it removes an object.
func (c Change) size() int64 {
	if c.Removed {
		return 0
	}
	return int64(changeOverhead + len(c.Kind) + len(c.Name) + len(c.Body))
}

// sizeOf returns the bytes that the objects which the changes set take when they are encoded.
func sizeOf(changes []Change) int64 {
	size := int64(0)
	for _, c := range changes {
		size += c.size()
	}
	return size
}
