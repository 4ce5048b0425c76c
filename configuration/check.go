package configuration

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Check returns Problems that name every broken reference, contradiction and value out of range, or nil.
func (s Set) Check() error {
	c := newChecker(s)
	for _, o := range s.Objects() {
		c.name(o)
	}
	each(s.Workspaces, c.workspace)
	each(s.Keys, c.key)
	each(s.Services, c.service)
	each(s.Priorities, c.priority)
	each(s.Limits, c.limit)
	each(s.Routes, c.route)
	c.overlaps(s.Routes)
	return c.problems.Err()
}

func each[T any](objects []T, check func(T)) {
	for _, o := range objects {
		check(o)
	}
}

type checker struct {
	known    map[objectID]bool
	seen     map[objectID]bool
	hashes   map[string]string
	levels   map[int]string
	problems Problems
}

func newChecker(s Set) *checker {
	c := &checker{
		known:  make(map[objectID]bool, s.count()),
		seen:   make(map[objectID]bool, s.count()),
		hashes: map[string]string{},
		levels: map[int]string{},
	}
	for _, o := range s.Objects() {
		c.known[idOf(o)] = true
	}
	return c
}

func (c *checker) name(o Object) {
	id := idOf(o)
	whole := id.kind.table() + "." + id.name
	if !ValidName(id.name) {
		c.report(whole, strconv.Quote(id.name), expectedName)
	}
	if c.seen[id] {
		c.report(whole, "a second definition", "one definition")
	}
	c.seen[id] = true
}

// reference reports a field that names an object which the set doesn't hold.
func (c *checker) reference(o Object, field string, kind Kind, name string) {
	if name == "" {
		c.missing(o, field, "the name of a "+string(kind))
		return
	}
	if !c.known[objectID{kind, name}] {
		c.report(label(o, field), strconv.Quote(name), fmt.Sprintf("the name of a %s in the set", kind))
	}
}

func (c *checker) missing(o Object, field, expected string) {
	c.report(label(o, field), "nothing", expected)
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
	c.report(label(o, field), fmt.Sprint(found), expected)
}

func (c *checker) report(name, found, expected string) {
	c.problems = append(c.problems, Problem{Name: name, Found: found, Expected: expected})
}

// overlaps reports routes that match the same requests with equal precedence.
func (c *checker) overlaps(routes []Route) {
	byPlace := map[string][]Route{}
	for _, r := range routes {
		place := strings.ToLower(r.Host) + r.Path
		for _, other := range byPlace[place] {
			if r.Name != other.Name && r.matched().Overlaps(other.matched()) {
				expected := fmt.Sprintf("no request that also matches routes.%s", other.Name)
				c.report(label(r, "path"), strconv.Quote(r.Path), expected)
			}
		}
		byPlace[place] = append(byPlace[place], r)
	}
}

func hasDuplicate(values []string) bool {
	if len(values) < 2 {
		return false
	}
	sorted := slices.Sorted(slices.Values(values))
	return len(slices.Compact(sorted)) < len(values)
}
