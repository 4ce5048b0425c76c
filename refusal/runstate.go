package refusal

// A RunState tells whether a refused request may have run at a backend server.
type RunState string

// The run states of a refused request.
const (
	NotRun  RunState = "not-run"
	Unknown RunState = "unknown"
)
