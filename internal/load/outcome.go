package load

import "sapphirespread.example/refusal"

// A Verdict judges one attempt at a request.
type Verdict string

// The closed list of verdicts.
const (
	Good    Verdict = "good"
	Refused Verdict = "refused"
	Failed  Verdict = "failed"
	Late    Verdict = "late"
	Wrong   Verdict = "wrong"
)

// An Outcome is what came of one attempt.
type Outcome struct {
	Verdict  Verdict
	Kind     refusal.Kind
	RunState refusal.RunState
}

// notRun tells whether the attempt was refused before it ran.
func (o Outcome) notRun() bool {
	return o.Verdict == Refused && o.RunState == refusal.NotRun
}
