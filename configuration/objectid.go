package configuration

// objectID identifies an object within a set.
type objectID struct {
	kind Kind
	name string
}

func idOf(o Object) objectID { return objectID{o.ObjectKind(), o.ObjectName()} }
