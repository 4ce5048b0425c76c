package configuration

// Limits of the problems in a kept response.
const (
	maxAnswerProblems  = 32
	maxAnswerTextBytes = 256 // of one name or value
)

// keptAnswer is the first response to a publication ID.
type keptAnswer struct {
	ID        string    `json:"id"`
	Digest    digest    `json:"digest"`
	Published Published `json:"published"`
}

// answerTable stores the first response to each of the latest publication IDs. The field order lists the IDs, the
// oldest first.
type answerTable struct {
	order []string
	byID  map[string]keptAnswer
}

func (b *answerTable) find(id string) (keptAnswer, bool) {
	kept, ok := b.byID[id]
	return kept, ok
}

func (b *answerTable) add(id string, contentDigest digest, published Published, limit int) {
	if b.byID == nil {
		b.byID = map[string]keptAnswer{}
	}
	b.byID[id] = keptAnswer{ID: id, Digest: contentDigest, Published: published}
	b.order = append(b.order, id)
	for len(b.order) > limit {
		delete(b.byID, b.order[0])
		b.order = b.order[1:]
	}
}

func (b *answerTable) list() []keptAnswer {
	kept := make([]keptAnswer, len(b.order))
	for i, id := range b.order {
		kept[i] = b.byID[id]
	}
	return kept
}
