package budget

// A Kind is a kind of holding.
type Kind int

// The kinds of holdings.
const (
	Connections Kind = iota
	Heads
	Bodies
	Answers
	kindCount
)

// String returns the name of the kind in metrics.
func (k Kind) String() string {
	return [kindCount]string{"connections", "heads", "bodies", "answers"}[k]
}
