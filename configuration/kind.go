package configuration

// A Kind is the kind of an object.
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

// Kinds returns all kinds in the order in which Set.Objects lists them.
func Kinds() []Kind {
	return []Kind{KindWorkspace, KindKey, KindService, KindPriority, KindLimit, KindRoute}
}

// table returns the name of the TOML table for objects of this kind.
func (k Kind) table() string {
	if k == KindPriority {
		return "priorities"
	}
	return string(k) + "s"
}
