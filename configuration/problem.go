package configuration

import (
	"strconv"
	"strings"
)

// A Problem describes one invalid or missing value of a set or a settings file.
type Problem struct {
	File     string `json:"file,omitempty"`
	Line     int    `json:"line,omitempty"`
	Name     string `json:"name,omitempty"`
	Found    string `json:"found,omitempty"`
	Expected string `json:"expected"`
}

// String returns the problem as "FILE:LINE: NAME: got FOUND, expected EXPECTED" and omits the parts that are empty.
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
