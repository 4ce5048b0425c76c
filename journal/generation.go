package journal

import (
	"fmt"
	"strconv"
	"strings"
)

const hexadecimal = 16

func parseGeneration(name string) (uint64, error) {
	generation, err := strconv.ParseUint(strings.TrimPrefix(name, "snapshot-"), hexadecimal, 64)
	if err != nil || snapshotName(generation) != name {
		return 0, fmt.Errorf("reading the file name %s: %w", name, ErrCorrupt)
	}
	return generation, nil
}
