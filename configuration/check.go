package configuration

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Check returns Problems that list every unresolved reference, contradiction and value out of range, or nil if the set
// is valid.
func (s Set) Check() error {
	c := newChecker(s)
	for _, o := range s.Objects() {
		c.checkName(o)
	}
	forEach(s.Workspaces, c.checkWorkspace)
	forEach(s.Keys, c.checkKey)
	forEach(s.Services, c.checkService)
	forEach(s.Priorities, c.checkPriority)
	forEach(s.Limits, c.checkLimit)
	forEach(s.Routes, c.checkRoute)
	c.checkOverlaps(s.Routes)
	return c.problems.Err()
}

func forEach[T any](objects []T, check func(T)) {
	for _, o := range objects {
		check(o)
	}
}

// checker collects the problems of a set. The field seen holds the objects visited so far, to detect duplicates.
type checker struct {
	defined         map[objectID]bool
	seen            map[objectID]bool
	keyByHash       map[string]string
	priorityByLevel map[int]string
	problems        Problems
}

func newChecker(s Set) *checker {
	c := &checker{
		defined:         make(map[objectID]bool, s.count()),
		seen:            make(map[objectID]bool, s.count()),
		keyByHash:       map[string]string{},
		priorityByLevel: map[int]string{},
	}
	for _, o := range s.Objects() {
		c.defined[idOf(o)] = true
	}
	return c
}

func (c *checker) checkName(o Object) {
	id := idOf(o)
	fullName := id.kind.table() + "." + id.name
	if !ValidName(id.name) {
		c.addProblem(fullName, strconv.Quote(id.name), expectedName)
	}
	if c.seen[id] {
		c.addProblem(fullName, "a second definition", "one definition")
	}
	c.seen[id] = true
}

// checkReference reports a problem if the field is empty or refers to an object that is not in the set.
func (c *checker) checkReference(o Object, field string, kind Kind, name string) {
	if name == "" {
		c.reportMissing(o, field, "the name of a "+string(kind))
		return
	}
	if !c.defined[objectID{kind, name}] {
		c.addProblem(label(o, field), strconv.Quote(name), fmt.Sprintf("the name of a %s in the set", kind))
	}
}

func (c *checker) reportMissing(o Object, field, expected string) {
	c.addProblem(label(o, field), "nothing", expected)
}

func (c *checker) expect(ok bool, o Object, field string, found any, expected string) {
	if ok {
		return
	}
	switch value := found.(type) {
	case string:
		found = strconv.Quote(value)
	case time.Duration:
		found = strconv.Quote(value.String())
	case []string:
		found = strconv.Quote(strings.Join(value, ", "))
	}
	c.addProblem(label(o, field), fmt.Sprint(found), expected)
}

func (c *checker) addProblem(name, found, expected string) {
	c.problems = append(c.problems, Problem{Name: name, Found: found, Expected: expected})
}

// checkOverlaps reports pairs of routes that match the same request with equal precedence.
func (c *checker) checkOverlaps(routes []Route) {
	byHostAndPath := map[string][]Route{}
	for _, r := range routes {
		hostAndPath := strings.ToLower(r.Host) + r.Path
		for _, other := range byHostAndPath[hostAndPath] {
			if r.Name != other.Name && r.pattern().Overlaps(other.pattern()) {
				expected := fmt.Sprintf("no request that also matches routes.%s", other.Name)
				c.addProblem(label(r, "path"), strconv.Quote(r.Path), expected)
			}
		}
		byHostAndPath[hostAndPath] = append(byHostAndPath[hostAndPath], r)
	}
}

func hasDuplicate(values []string) bool {
	if len(values) < 2 {
		return false
	}
	sorted := slices.Sorted(slices.Values(values))
	return len(slices.Compact(sorted)) < len(values)
}
