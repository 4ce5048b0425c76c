package configuration

import (
	"cmp"
	"errors"
	"slices"
	"strconv"
	"strings"

	"sapphirespread.example/internal/tomlfile"
)

// Problems is an error that lists all problems found.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err sorts the problems by file, line and name and returns them as an error, or nil if there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Name, b.Name))
	})
	return p
}

// FileProblems converts the faults of a decoded file to problems.
func FileProblems(file string, faults []tomlfile.Fault) Problems {
	problems := make(Problems, 0, len(faults))
	for _, f := range faults {
		problems = append(problems, Problem{file, f.Line, f.Name, f.Found, f.Expected})
	}
	return problems
}

// truncated returns at most count problems with truncated texts. If there are more, the last one states how many were
// left out.
func (p Problems) truncated(count int) Problems {
	kept := slices.Clone(p[:min(len(p), count)])
	if len(p) > count {
		kept[count-1] = Problem{Found: strconv.Itoa(len(p)-count+1) + " more problems", Expected: "none"}
	}
	for i := range kept {
		kept[i].Name = truncateText(kept[i].Name)
		kept[i].Found = truncateText(kept[i].Found)
	}
	return kept
}

// truncateText returns at most maxAnswerTextBytes bytes of text, cut between two characters and followed by "...".
func truncateText(text string) string {
	if len(text) <= maxAnswerTextBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxAnswerTextBytes], "") + "..."
}

func asProblems(err error) Problems {
	var problems Problems
	if errors.As(err, &problems) {
		return problems
	}
	return Problems{{Found: err.Error(), Expected: "a whole set"}}
}
