package route

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// A Matcher finds routes; it never changes once it is built, so any number of goroutines may read it.
type Matcher struct {
	exact  map[string][]Route
	prefix map[string][]Route
}

// NewMatcher returns a matcher of the routes.
func NewMatcher(routes ...Route) *Matcher {
	m := &Matcher{exact: map[string][]Route{}, prefix: map[string][]Route{}}
	for _, r := range routes {
		path, isPrefix := r.Prefix()
		if isPrefix {
			m.prefix[path] = append(m.prefix[path], r)
		} else {
			path = withoutLastSlash(path)
			m.exact[path] = append(m.exact[path], r)
		}
	}
	sortAll(m.exact)
	sortAll(m.prefix)
	return m
}

// Match returns the route of a request by its method, its host with or without a port, and its decoded path.
func (m *Matcher) Match(method, host, path string) (Route, bool) {
	if !Canonical(path) {
		return Route{}, false
	}
	host = hostName(host)
	exact := withoutLastSlash(path)
	if r, ok := choose(m.exact[exact], method, host); ok {
		return r, true
	}
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if r, ok := choose(m.prefix[path[:slash+1]], method, host); ok {
			return r, true
		}
		end = slash
	}
	return Route{}, false
}

// Canonical reports whether path starts with a slash and has no empty, "." or ".." segment and no backslash.
func Canonical(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.ContainsRune(path, '\\') {
		return false
	}
	rest := path[1:]
	for rest != "" {
		segment, after, more := strings.Cut(rest, "/")
		if segment == "" || segment == "." || segment == ".." {
			return false
		}
		if !more {
			return true
		}
		rest = after
	}
	return true
}

func choose(routes []Route, method, host string) (Route, bool) {
	for _, r := range routes {
		if r.serves(host) && r.allows(method) {
			return r, true
		}
	}
	return Route{}, false
}

// sortAll puts routes with a host before those without, and routes with methods before those that allow all.
func sortAll(byPath map[string][]Route) {
	for _, routes := range byPath {
		slices.SortFunc(routes, func(a, b Route) int {
			return cmp.Or(
				-cmp.Compare(min(len(a.Host), 1), min(len(b.Host), 1)),
				-cmp.Compare(min(len(a.Methods), 1), min(len(b.Methods), 1)),
				cmp.Compare(a.Name, b.Name),
			)
		})
	}
}

func withoutLastSlash(path string) string {
	if len(path) > 1 {
		return strings.TrimSuffix(path, "/")
	}
	return path
}

func hostName(host string) string {
	if strings.LastIndexByte(host, ':') >= 0 {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}
