package evacuation

// maxNameBytes bounds the replicated state together with maxDomains.
const maxNameBytes = 128

// An Order takes a failure domain out of use, or back into use. It names the wanted state, so that a repeated order changes
// nothing.
type Order struct {
	Domain string
	Out    bool
}

// Valid reports whether the order names a failure domain that the register can hold.
func (o Order) Valid() bool {
	if o.Domain == "" || len(o.Domain) > maxNameBytes {
		return false
	}
	for _, r := range o.Domain {
		if r <= ' ' || r >= 0x7f {
			return false
		}
	}
	return true
}
