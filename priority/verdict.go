package priority

import "sapphirespread.example/refusal"

// A Verdict ends the wait of one request: it is admitted, or refused with Kind and was not run.
type Verdict struct {
	ID       uint64
	Admitted bool
	Kind     refusal.Kind
}
