package journal

import (
	"fmt"
	"strconv"
	"strings"
)

const hexBase = 16

// parseGeneration returns the generation in the name of a snapshot file, or ErrCorrupt if the name is malformed.
func parseGeneration(name string) (uint64, error) {
	generation, err := strconv.ParseUint(strings.TrimPrefix(name, "snapshot-"), hexBase, 64)
	if err != nil || snapshotName(generation) != name {
		return 0, fmt.Errorf("parsing the snapshot file name %s: %w", name, ErrCorrupt)
	}
	return generation, nil
}
