package tomlfile

import "strings"

// Lines maps dotted names to the lines that define them.
type Lines map[string]int

// Of returns the line of name, or of the closest enclosing table that has one.
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
