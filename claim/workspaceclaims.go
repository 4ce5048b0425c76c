package claim

// workspaceClaims counts the keys and outcome bytes of one workspace.
type workspaceClaims struct {
	name         string
	keys         int
	untimedKeys  int
	outcomeBytes int64
	outcomes     []*entry // with a kept body, oldest first
}

func (w *workspaceClaims) keepOutcome(e *entry) {
	w.outcomes = append(w.outcomes, e)
	w.outcomeBytes += e.outcome.bytes()
}

// discardOldest discards the headers and body of the oldest outcome and returns the number of bytes freed.
func (w *workspaceClaims) discardOldest() int64 {
	e := w.outcomes[0]
	w.outcomes[0] = nil
	w.outcomes = w.outcomes[1:]
	if e.removed {
		return 0
	}
	return w.discardOutcome(e)
}

func (w *workspaceClaims) discardOutcome(e *entry) int64 {
	freed := e.outcome.bytes()
	e.outcome.Outcome = Outcome{Status: e.outcome.Status}
	w.outcomeBytes -= freed
	return freed
}
