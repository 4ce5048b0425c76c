package configuration

// A PublishResult is the response to a publish request. Revision is the revision in force at the time of the response,
// which is the new one if the request was accepted. On a conflict, Winner is the revision that another request created
// from the same base.
type PublishResult struct {
	Revision uint64   `json:"revision"`
	Kind     Outcome  `json:"kind"`
	Winner   uint64   `json:"winner,omitempty"`
	Problems Problems `json:"problems,omitempty"`
}

// Rejected returns the result of a publish whose set is invalid because of err, in whatever state it is applied.
func Rejected(err error) PublishResult {
	return PublishResult{Kind: Broken, Problems: asProblems(err).truncated(maxAnswerProblems)}
}
