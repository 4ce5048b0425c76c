package tomlfile

import "strings"

// Lines maps each dotted name to the line that first defines it.
type Lines map[string]int

// Of returns the line of name or, if it has none, of the closest enclosing table or array, and zero if no line is
// known.
func (l Lines) Of(name string) int {
	for {
		if line, ok := l[name]; ok {
			return line
		}
		end := strings.LastIndexAny(name, ".[")
		if end < 0 {
			return 0
		}
		name = name[:end]
	}
}
