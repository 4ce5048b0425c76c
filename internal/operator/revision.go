package operator

import "sapphirespread.example/configuration"

// A Revision is a published set with its number.
type Revision struct {
	Number uint64
	Set    configuration.Set
}
