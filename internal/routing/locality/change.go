package locality

// A Change is a change of a Spill that operators are told of.
type Change string

// The changes of a Spill.
const (
	None  Change = ""
	Begun Change = "begun"
	Ended Change = "ended"
)
