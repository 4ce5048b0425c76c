package configuration

// What one kept answer holds at most.
const (
	maxAnswerProblems = 32
	maxAnswerText     = 256 // bytes of one name or value
)

// keptAnswer is the first answer to a publication id.
type keptAnswer struct {
	ID        string    `json:"id"`
	Digest    digest    `json:"digest"`
	Published Published `json:"published"`
}

// answerBook keeps the first answers to the last publication ids, the oldest first.
type answerBook struct {
	order []string
	byID  map[string]keptAnswer
}

func (b *answerBook) find(id string) (keptAnswer, bool) {
	kept, ok := b.byID[id]
	return kept, ok
}

func (b *answerBook) add(id string, sum digest, published Published, bound int) {
	if b.byID == nil {
		b.byID = map[string]keptAnswer{}
	}
	b.byID[id] = keptAnswer{ID: id, Digest: sum, Published: published}
	b.order = append(b.order, id)
	for len(b.order) > bound {
		delete(b.byID, b.order[0])
		b.order = b.order[1:]
	}
}

func (b *answerBook) list() []keptAnswer {
	kept := make([]keptAnswer, len(b.order))
	for i, id := range b.order {
		kept[i] = b.byID[id]
	}
	return kept
}
