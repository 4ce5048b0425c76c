package replica

import "slices"

// configurations is the history of the membership, oldest first and never empty.
type configurations []configuration

// configuration is the membership in force from index on.
type configuration struct {
	index   uint64
	members Members
}

func (c configurations) latest() configuration {
	return c[len(c)-1]
}

// membersAt returns the members in force at index, or nil if index is older than the history.
func (c configurations) membersAt(index uint64) Members {
	for _, config := range slices.Backward(c) {
		if config.index <= index {
			return config.members
		}
	}
	return nil
}

// append adds the memberships that entries carry.
func (c *configurations) append(entries ...Entry) {
	for _, entry := range entries {
		if entry.Kind == MembersEntry {
			*c = append(*c, configuration{index: entry.Index, members: entry.Members})
		}
	}
}

// truncate removes the configurations after index, but always keeps the oldest one.
func (c *configurations) truncate(index uint64) {
	kept := *c
	for len(kept) > 1 && kept.latest().index > index {
		kept = kept[:len(kept)-1]
	}
	*c = kept
}

// compact removes the configurations that are no longer in force at index.
func (c *configurations) compact(index uint64) {
	kept := *c
	for len(kept) > 1 && kept[1].index <= index {
		kept = kept[1:]
	}
	*c = slices.Clone(kept)
}
