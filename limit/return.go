package limit

// A Return closes a grant: Tokens of it come back unspent, the others were spent.
type Return struct {
	GrantID   uint64
	Workspace string
	Tokens    int64
}
