package claim

// tenancy counts what one workspace keeps in the book.
type tenancy struct {
	name     string
	keys     int
	untimed  int
	bytes    int64
	outcomes []*entry // with a kept body, oldest first
}

func (t *tenancy) keep(e *entry) {
	t.outcomes = append(t.outcomes, e)
	t.bytes += e.outcome.bytes()
}

// discardOldest forgets the oldest outcome's headers and body, and returns their bytes.
func (t *tenancy) discardOldest() int64 {
	e := t.outcomes[0]
	t.outcomes[0] = nil
	t.outcomes = t.outcomes[1:]
	if e.dropped {
		return 0
	}
	return t.discard(e)
}

func (t *tenancy) discard(e *entry) int64 {
	freed := e.outcome.bytes()
	e.outcome.Outcome = Outcome{Status: e.outcome.Status}
	t.bytes -= freed
	return freed
}
