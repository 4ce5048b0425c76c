package configuration

// document is the content of one TOML file, with a table of named objects for each kind.
type document struct {
	Workspaces map[string]*Workspace `toml:"workspaces"`
	Keys       map[string]*Key       `toml:"keys"`
	Services   map[string]*Service   `toml:"services"`
	Priorities map[string]*Priority  `toml:"priorities"`
	Limits     map[string]*Limit     `toml:"limits"`
	Routes     map[string]*Route     `toml:"routes"`
}

// objects returns the document's objects, each named after its key in the table.
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
