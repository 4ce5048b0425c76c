package configuration

const defaultShare = 1.0

// A Workspace is a tenant, held to its limit across all instances together.
type Workspace struct {
	Name  string  `json:"name" toml:"-"`
	Limit string  `json:"limit" toml:"limit"`
	Share float64 `json:"share" toml:"share"`
	// Priority ranks the workspace's requests before the priorities of their routes do; none where it is empty.
	Priority string `json:"priority,omitempty" toml:"priority,omitempty"`
}

// ObjectKind returns KindWorkspace.
func (Workspace) ObjectKind() Kind { return KindWorkspace }

// ObjectName returns the workspace's name.
func (w Workspace) ObjectName() string { return w.Name }

// SetDefaults sets the share that a workspace has where its file names none.
func (w *Workspace) SetDefaults() { w.Share = defaultShare }
