package priority

import "sapphirespread.example/refusal"

// A Verdict is the decision on one request: it is admitted, or refused with Kind without having run.
type Verdict struct {
	ID       uint64
	Admitted bool
	Kind     refusal.Kind
}
