package configuration

const defaultShare = 1.0

// A Workspace is a tenant. Its limit applies to its requests on all instances together.
type Workspace struct {
	Name  string  `json:"name" toml:"-"`
	Limit string  `json:"limit" toml:"limit"`
	Share float64 `json:"share" toml:"share"`
	// Priority ranks the workspace's requests ahead of the priorities of their routes. It has no effect if empty.
	Priority string `json:"priority,omitempty" toml:"priority,omitempty"`
}

// ObjectKind returns KindWorkspace.
func (Workspace) ObjectKind() Kind { return KindWorkspace }

// ObjectName returns the workspace's name.
func (w Workspace) ObjectName() string { return w.Name }

// SetDefaults sets the default share.
func (w *Workspace) SetDefaults() { w.Share = defaultShare }
