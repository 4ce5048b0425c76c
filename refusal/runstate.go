package refusal

// A RunState describes whether a refused request may have run at a backend server.
type RunState string

// Run states of a refused request. Unknown means that the request may have run.
const (
	NotRun  RunState = "not-run"
	Unknown RunState = "unknown"
)
