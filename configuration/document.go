package configuration

// document is one file: tables of objects by name.
type document struct {
	Workspaces map[string]*Workspace `toml:"workspaces"`
	Keys       map[string]*Key       `toml:"keys"`
	Services   map[string]*Service   `toml:"services"`
	Priorities map[string]*Priority  `toml:"priorities"`
	Limits     map[string]*Limit     `toml:"limits"`
	Routes     map[string]*Route     `toml:"routes"`
}

// objects returns the file's objects with the names that they have in their tables.
func (d document) objects() []Object {
	var s Set
	for name, o := range d.Workspaces {
		o.Name = name
		s.add(*o)
	}
	for name, o := range d.Keys {
		o.Name = name
		s.add(*o)
	}
	for name, o := range d.Services {
		o.Name = name
		s.add(*o)
	}
	for name, o := range d.Priorities {
		o.Name = name
		s.add(*o)
	}
	for name, o := range d.Limits {
		o.Name = name
		s.add(*o)
	}
	for name, o := range d.Routes {
		o.Name = name
		s.add(*o)
	}
	return s.Objects()
}
