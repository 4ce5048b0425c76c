package configuration

import (
	"encoding/json"
	"fmt"
)

// An Object is a named entry of a set, such as a workspace or a route.
type Object interface {
	ObjectKind() Kind
	ObjectName() string
}

// equal reports whether two objects have the same kind and content.
func equal(a, b Object) bool {
	before, isRoute := a.(Route)
	if !isRoute {
		return a == b
	}
	after, isRoute := b.(Route)
	return isRoute && before.equal(after)
}

// label returns the dotted TOML name of an object's field, such as "routes.book.path".
func label(o Object, field string) string {
	return o.ObjectKind().table() + "." + o.ObjectName() + "." + field
}

// encodeObject returns the object as JSON, or nil if it contains a number that JSON cannot represent. Check reports
// such a number.
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
	if err := unmarshalStrict(body, &object); err != nil {
		return nil, err
	}
	return object, nil
}
