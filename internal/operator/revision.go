package operator

import "sapphirespread.example/configuration"

// A Revision is the number of a revision and its set.
type Revision struct {
	Number uint64
	Set    configuration.Set
}
