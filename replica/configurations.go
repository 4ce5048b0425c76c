package replica

import "slices"

// configurations are the members by the index from which they are in force.
type configurations []configuration

type configuration struct {
	index   uint64
	members Members
}

func (c configurations) latest() configuration {
	return c[len(c)-1]
}

// at returns the members in force at index.
func (c configurations) at(index uint64) Members {
	for _, candidate := range slices.Backward(c) {
		if candidate.index <= index {
			return candidate.members
		}
	}
	return nil
}

func (c *configurations) append(entries ...Entry) {
	for _, entry := range entries {
		if entry.Kind == MembersEntry {
			*c = append(*c, configuration{index: entry.Index, members: entry.Members})
		}
	}
}

func (c *configurations) truncate(index uint64) {
	kept := *c
	for len(kept) > 1 && kept.latest().index > index {
		kept = kept[:len(kept)-1]
	}
	*c = kept
}

// compact drops what only indexes before index need.
func (c *configurations) compact(index uint64) {
	kept := *c
	for len(kept) > 1 && kept[1].index <= index {
		kept = kept[1:]
	}
	*c = slices.Clone(kept)
}
