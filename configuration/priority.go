package configuration

// A Priority ranks requests under overload; level 0 is shed last.
type Priority struct {
	Name  string `json:"name" toml:"-"`
	Level int    `json:"level" toml:"level"`
}

// ObjectKind returns KindPriority.
func (Priority) ObjectKind() Kind { return KindPriority }

// ObjectName returns the priority's name.
func (p Priority) ObjectName() string { return p.Name }

const noLevel = -1

// SetDefaults marks the level as missing.
func (p *Priority) SetDefaults() { p.Level = noLevel }
