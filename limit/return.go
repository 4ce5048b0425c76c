package limit

// A Return closes a grant. Tokens is the number of unspent tokens; the rest of the grant was spent.
type Return struct {
	GrantID   uint64
	Workspace string
	Tokens    int64
}
