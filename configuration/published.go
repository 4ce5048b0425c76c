package configuration

// Published is the answer to a publish. Revision is the one in force when it was answered: the new one where it
// was accepted. Winner is the revision that another publish made of the same base, where it was a conflict.
type Published struct {
	Revision uint64   `json:"revision"`
	Kind     Answer   `json:"kind"`
	Winner   uint64   `json:"winner,omitempty"`
	Problems Problems `json:"problems,omitempty"`
}
