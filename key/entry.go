package key

// An Entry identifies a key and the workspace that it belongs to.
type Entry struct {
	Name      string
	Workspace string
	Withdrawn bool // the key is no longer accepted
}
