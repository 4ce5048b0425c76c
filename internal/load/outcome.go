package load

import "sapphirespread.example/refusal"

// Verdict classifies the result of one attempt.
type Verdict string

// All verdicts. Failed is an error without a named refusal, Late a missed deadline, and Wrong an answer that is
// incomplete or belongs to another request.
const (
	Good    Verdict = "good"
	Refused Verdict = "refused"
	Failed  Verdict = "failed"
	Late    Verdict = "late"
	Wrong   Verdict = "wrong"
)

// Outcome is the result of one attempt; Kind and RunState are set for refusals only.
type Outcome struct {
	Verdict  Verdict
	Kind     refusal.Kind
	RunState refusal.RunState
}

// refusedBeforeRun reports whether the attempt was refused before it ran.
func (o Outcome) refusedBeforeRun() bool {
	return o.Verdict == Refused && o.RunState == refusal.NotRun
}
