package journal

import (
	"strconv"
	"strings"

	"github.com/joomcode/errorx"
)

const hexadecimal = 16

func parseGeneration(name string) (uint64, error) {
	generation, err := strconv.ParseUint(strings.TrimPrefix(name, "snapshot-"), hexadecimal, 64)
	if err != nil || snapshotName(generation) != name {
		return 0, errorx.Decorate(ErrCorrupt, "reading the file name %s", name)
	}
	return generation, nil
}
