package configuration

import (
	"strconv"
	"strings"
)

// A Problem is one place of a set or a settings file that does not hold what is expected.
type Problem struct {
	File     string `json:"file,omitempty"`
	Line     int    `json:"line,omitempty"`
	Name     string `json:"name,omitempty"`
	Found    string `json:"found,omitempty"`
	Expected string `json:"expected"`
}

// String returns the problem as "file:line: name: got found, expected expected".
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		b.WriteString(p.File + ":")
		if p.Line > 0 {
			b.WriteString(strconv.Itoa(p.Line) + ":")
		}
		b.WriteString(" ")
	}
	if p.Name != "" {
		b.WriteString(p.Name + ": ")
	}
	if p.Found != "" {
		b.WriteString("got " + p.Found + ", ")
	}
	b.WriteString("expected " + p.Expected)
	return b.String()
}
