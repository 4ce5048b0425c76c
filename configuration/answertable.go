package configuration

// Limits of the problems in a kept response.
const (
	maxAnswerProblems  = 32
	maxAnswerTextBytes = 256 // of one name or value
)

// keptAnswer is the first response to a publication ID.
type keptAnswer struct {
	ID        string        `json:"id"`
	Digest    digest        `json:"digest"`
	Published PublishResult `json:"published"`
}

// answerTable stores the first response to each of the latest publication IDs. The field order lists the IDs, the
// oldest first.
type answerTable struct {
	order []string
	byID  map[string]keptAnswer
}

func (t *answerTable) find(id string) (keptAnswer, bool) {
	kept, ok := t.byID[id]
	return kept, ok
}

func (t *answerTable) add(id string, contentDigest digest, result PublishResult, limit int) {
	if t.byID == nil {
		t.byID = map[string]keptAnswer{}
	}
	t.byID[id] = keptAnswer{ID: id, Digest: contentDigest, Published: result}
	t.order = append(t.order, id)
	for len(t.order) > limit {
		delete(t.byID, t.order[0])
		t.order = t.order[1:]
	}
}

func (t *answerTable) list() []keptAnswer {
	kept := make([]keptAnswer, len(t.order))
	for i, id := range t.order {
		kept[i] = t.byID[id]
	}
	return kept
}
