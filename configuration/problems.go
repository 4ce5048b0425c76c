package configuration

import (
	"cmp"
	"errors"
	"slices"
	"strconv"
	"strings"

	"sapphirespread.example/internal/tomlfile"
)

// Problems is an error that lists every problem found.
type Problems []Problem

// Error returns one problem a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems in the order of their places, or nil where there are none.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	slices.SortStableFunc(p, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Name, b.Name))
	})
	return p
}

// FileProblems returns the faults of a decoded file as problems.
func FileProblems(file string, faults []tomlfile.Fault) Problems {
	problems := make(Problems, 0, len(faults))
	for _, f := range faults {
		problems = append(problems, Problem{file, f.Line, f.Name, f.Found, f.Expected})
	}
	return problems
}

// first returns at most count problems with short texts, the last of them telling how many more there are.
func (p Problems) first(count int) Problems {
	kept := slices.Clone(p[:min(len(p), count)])
	if len(p) > count {
		kept[count-1] = Problem{Found: strconv.Itoa(len(p)-count+1) + " more problems", Expected: "none"}
	}
	for i := range kept {
		kept[i].Name = shortened(kept[i].Name)
		kept[i].Found = shortened(kept[i].Found)
	}
	return kept
}

// shortened cuts text at a bound, between two characters.
func shortened(text string) string {
	if len(text) <= maxAnswerText {
		return text
	}
	return strings.ToValidUTF8(text[:maxAnswerText], "") + "..."
}

func problemsOf(err error) Problems {
	var problems Problems
	if errors.As(err, &problems) {
		return problems
	}
	return Problems{{Found: err.Error(), Expected: "a whole set"}}
}
