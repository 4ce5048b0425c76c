package configuration

import (
	"encoding/json"
	"fmt"
)

// An Object is one named object of a set.
type Object interface {
	ObjectKind() Kind
	ObjectName() string
}

// equal reports whether two objects hold the same.
func equal(a, b Object) bool {
	before, isRoute := a.(Route)
	if !isRoute {
		return a == b
	}
	after, isRoute := b.(Route)
	return isRoute && before.equal(after)
}

// label returns the dotted name of an object's field as it stands in a file.
func label(o Object, field string) string {
	return o.ObjectKind().table() + "." + o.ObjectName() + "." + field
}

// encodeObject returns nil for an object with a number that JSON can't hold; Check reports such a number.
func encodeObject(o Object) []byte {
	body, err := json.Marshal(o)
	if err != nil {
		return nil
	}
	return body
}

func decodeObject(kind Kind, body []byte) (Object, error) {
	switch kind {
	case KindWorkspace:
		return decodeAs[Workspace](body)
	case KindKey:
		return decodeAs[Key](body)
	case KindService:
		return decodeAs[Service](body)
	case KindPriority:
		return decodeAs[Priority](body)
	case KindLimit:
		return decodeAs[Limit](body)
	case KindRoute:
		return decodeAs[Route](body)
	}
	return nil, fmt.Errorf("unknown kind of object %q", kind)
}

func decodeAs[T Object](body []byte) (Object, error) {
	var object T
	if err := unmarshalStrictly(body, &object); err != nil {
		return nil, err
	}
	return object, nil
}
