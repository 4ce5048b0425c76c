package configuration

// A Key authorizes callers to send requests for a workspace. Only the hash of its secret is stored.
type Key struct {
	Name      string `json:"name" toml:"-"`
	Workspace string `json:"workspace" toml:"workspace"`
	Hash      string `json:"hash" toml:"hash"`
	Withdrawn bool   `json:"withdrawn" toml:"withdrawn,omitempty"`
}

// ObjectKind returns KindKey.
func (Key) ObjectKind() Kind { return KindKey }

// ObjectName returns the key's name.
func (k Key) ObjectName() string { return k.Name }
