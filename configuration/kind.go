package configuration

// A Kind names one kind of object.
type Kind string

// The kinds of objects.
const (
	KindWorkspace Kind = "workspace"
	KindKey       Kind = "key"
	KindService   Kind = "service"
	KindPriority  Kind = "priority"
	KindLimit     Kind = "limit"
	KindRoute     Kind = "route"
)

// Kinds returns all kinds in the order in which sets list them.
func Kinds() []Kind {
	return []Kind{KindWorkspace, KindKey, KindService, KindPriority, KindLimit, KindRoute}
}

// table returns the name of the table that holds the kind's objects in a file.
func (k Kind) table() string {
	if k == KindPriority {
		return "priorities"
	}
	return string(k) + "s"
}
