package key

// An Entry tells the workspace that a key belongs to.
type Entry struct {
	Name      string
	Workspace string
	Withdrawn bool
}
