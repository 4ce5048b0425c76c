package evacuation

import "github.com/joomcode/errorx"

// maxNameBytes bounds the replicated state together with maxDomains.
const maxNameBytes = 128

// An Order takes a failure domain out of use, or back into use. It names the wanted state, so that a repeated order changes
// nothing.
type Order struct {
	Domain string
	Out    bool
}

// Validate returns an error unless the order names a failure domain that the register can hold, with 1 to 128 printable
// ASCII characters without spaces.
func (o Order) Validate() error {
	valid := o.Domain != "" && len(o.Domain) <= maxNameBytes
	for _, r := range o.Domain {
		valid = valid && r > ' ' && r < 0x7f
	}
	if !valid {
		return errorx.IllegalArgument.New("ordering a failure domain: %q is no name of one", o.Domain)
	}
	return nil
}
