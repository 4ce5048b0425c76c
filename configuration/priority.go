package configuration

// A Priority ranks requests under overload. Level 0 is the most important and is shed last.
type Priority struct {
	Name  string `json:"name" toml:"-"`
	Level int    `json:"level" toml:"level"`
}

// ObjectKind returns KindPriority.
func (Priority) ObjectKind() Kind { return KindPriority }

// ObjectName returns the priority's name.
func (p Priority) ObjectName() string { return p.Name }

const unsetLevel = -1

// SetDefaults marks the level as unset, since a priority has no default level.
func (p *Priority) SetDefaults() { p.Level = unsetLevel }
